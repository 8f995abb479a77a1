package daemon

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a link that stays in plain text, or does not work, when its
// switch is on, and against a peer listener that answers a process without a
// certificate.
func TestServesOverTLS(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{})
		authority, err := standin.NewAuthority("ca")
		if err != nil {
			t.Fatal(err)
		}
		const callerAddress, peerAddress = "10.3.0.1:8100", "10.3.0.1:7600"
		t1 := writeTLS(t, authority, "10.3.0.1", "10.9.0.9")
		platformURL := "https://" + securePlatform(t, c, t1)
		s := settings.Default()
		s.Name, s.DataCentre, s.Region = "daemon-1", "anand", "guj-west"
		s.Listen = settings.Listen{Caller: callerAddress, Peer: peerAddress}
		s.Platform = settings.Platform{Log: platformURL, VMList: platformURL, WeightStore: platformURL}
		s.TLS = t1
		keys, err := loadKeys(s.TLS, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		d := New(s, connect(s, links(s.TLS, c.net.Host("daemon-1"), keys), zap.NewNop(), "test"))
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		c.daemons["daemon-1"] = d
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)

		plain, client := c.net.Host("client"), network.NewSecure(c.net.Host("client"), keys, network.SecureOptions{})
		transport := &http.Transport{DisableKeepAlives: true}
		network.ConfigureTransport(transport, client)
		body := strings.NewReader(`{"model":"slot-query","prompt":"slot tokens=5 "}`)
		resp, err := (&http.Client{Transport: transport}).Post("https://"+callerAddress+"/v1/completions", "application/json", body)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request over TLS answered %s", resp.Status)
		}
		if err := askStatus(client, peerAddress); err != nil {
			t.Errorf("operator with a certificate: %v", err)
		}
		if err := askStatus(plain, peerAddress); err == nil {
			t.Error("the peer listener answered a process without TLS")
		}
	})
}

func askStatus(nw network.Network, address string) error {
	dialer := peer.NewDialer(nw)
	defer dialer.Close()
	var status admin.Status
	return dialer.Dial(address).Call(context.Background(), admin.MethodStatus, struct{}{}, &status)
}

// writeTLS writes files for the hosts and switches every link on that the fakes
// speak TLS on.
func writeTLS(t *testing.T, authority *standin.Authority, hosts ...string) settings.TLS {
	t.Helper()
	pair, err := authority.Sign("daemon-1", hosts...)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := settings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
		Callers:     true,
		Peers:       true,
		Platform:    true,
	}
	for path, data := range map[string][]byte{out.Certificate: pair.Certificate, out.Key: pair.Key, out.CA: authority.PEM} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// securePlatform serves the cluster's platform over TLS too and returns its address.
func securePlatform(t *testing.T, c *cluster, files settings.TLS) string {
	t.Helper()
	const address = "10.9.0.9:7000"
	keys, err := loadKeys(files, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := network.NewSecure(c.net.Host("secure-platform"), keys, network.SecureOptions{}).Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: c.platform.Handler()}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
	return address
}
