package ctl

import (
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/pflag"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/platform"
)

// tlsFlags holds the flags for TLS connections to daemons, and to a log service whose URL
// starts with https.
type tlsFlags struct {
	files    network.Files
	peerName string
}

func (f *tlsFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.files.Certificate, "certificate", "", "operator's certificate, PEM; switches TLS on")
	flags.StringVar(&f.files.Key, "key", "", "private key of the certificate, PEM")
	flags.StringVar(&f.files.CA, "ca", "", "CA of daemons and log service, PEM")
	flags.StringVar(&f.peerName, "peer-name", "", "DNS name that certificates of daemons carry; empty means their IP address")
}

// loadKeys loads the certificate, key and CA files. It returns nil when no file is set.
func (f *tlsFlags) loadKeys() (*network.Keys, error) {
	if f.files == (network.Files{}) {
		return nil, nil
	}
	if f.files.Certificate == "" || f.files.Key == "" || f.files.CA == "" {
		return nil, trace.BadParameter("--certificate, --key and --ca are required together")
	}
	return network.LoadKeys(f.files, zap.NewNop())
}

// daemonNetwork returns the network for connections to daemons, with TLS when the flags
// enable it.
func (o *options) daemonNetwork() (network.Network, error) {
	keys, err := o.tls.loadKeys()
	if err != nil || keys == nil {
		return o.network, err
	}
	return network.NewSecure(o.network, keys, network.SecureOptions{PeerName: o.tls.peerName}), nil
}

// openLog returns a client for the log service at a base URL.
func (o *options) openLog(url string) (*platform.Log, error) {
	keys, err := o.tls.loadKeys()
	if err != nil {
		return nil, err
	}
	if keys == nil || !strings.HasPrefix(url, "https:") {
		return platform.NewLog(url, o.network), nil
	}
	return platform.NewLog(url, network.NewSecure(o.network, keys, network.SecureOptions{})), nil
}
