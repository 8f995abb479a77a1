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
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a link that stays in plain text, or does not work, when its TLS switch
// is on, and against a peer listener that answers a process without a certificate.
func TestServesOverTLS(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		authority, err := standin.NewAuthority("ca")
		if err != nil {
			t.Fatal(err)
		}
		const callerAddress, peerAddress = "10.3.0.1:8100", "10.3.0.1:7600"
		const engineAddress, platformTLSAddress = "10.1.0.1:7100", "10.9.0.9:7000"
		files := writeTLS(t, authority, "10.3.0.1", "10.1.0.1", "10.9.0.9")
		engine := standin.NewEngine(standin.EngineOptions{
			Name: "engine-1", Model: testModel, Role: port.RoleMixed, TokenTime: time.Millisecond, Capacity: 1000})
		serveTLS(t, c, files, "engine-1", engineAddress, engine.Handler())
		serveTLS(t, c, files, "secure-platform", platformTLSAddress, c.platform.Handler())
		c.addVM(port.VM{ID: "engine-1", Address: engineAddress, DataCentre: "anand", Kind: port.KindEngine, Pool: testPool, State: port.VMLive})
		platformURL := "https://" + platformTLSAddress
		s := settings.Default()
		s.Name, s.DataCentre, s.Region = "daemon-1", "anand", "guj-west"
		s.Listen = settings.Listen{Caller: callerAddress, Peer: peerAddress}
		s.Platform = settings.Platform{Log: platformURL, VMList: platformURL, WeightStore: platformURL}
		s.TLS = files
		keys, err := loadKeys(s.TLS, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		d := New(s, newDependencies(s, newLinks(s.TLS, c.net.Host("daemon-1"), keys), zap.NewNop(), "test"))
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
			t.Errorf("request over TLS answered %s, want 200", resp.Status)
		}
		if err := queryStatus(client, peerAddress); err != nil {
			t.Errorf("operator with a certificate: %v", err)
		}
		if err := queryStatus(plain, peerAddress); err == nil {
			t.Error("the peer listener answered a process without TLS")
		}
	})
}

// queryStatus requests the status of a daemon from its peer listener.
func queryStatus(nw network.Network, address string) error {
	dialer := peer.NewDialer(nw)
	defer dialer.Close()
	var status admin.Status
	return dialer.Dial(address).Call(context.Background(), admin.MethodStatus, struct{}{}, &status)
}

// writeTLS writes key and certificate files for the hosts and returns settings that
// enable TLS on every link.
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
		Upstreams:   true,
		Platform:    true,
	}
	for path, data := range map[string][]byte{out.Certificate: pair.Certificate, out.Key: pair.Key, out.CA: authority.PEM} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// serveTLS serves a stand-in over TLS.
func serveTLS(t *testing.T, c *cluster, files settings.TLS, host, address string, h http.Handler) {
	t.Helper()
	keys, err := loadKeys(files, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	l, err := network.NewSecure(c.net.Host(host), keys, network.SecureOptions{}).Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
}
