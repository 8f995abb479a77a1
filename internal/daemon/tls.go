package daemon

import (
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Check reads the settings file at path and the files that it names, without
// starting a daemon.
func Check(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	_, err = loadKeys(s.TLS, zap.NewNop())
	return err
}

// loadKeys reads the files that the settings name, or returns nil without TLS.
func loadKeys(t settings.TLS, logger *zap.Logger) (*network.Keys, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return network.LoadKeys(network.Files{Certificate: t.Certificate, Key: t.Key, CA: t.CA}, logger)
}

// newLinks returns the networks of all newLinks of a daemon.
func newLinks(t settings.TLS, base network.Network, keys *network.Keys) network.Links {
	return network.NewLinks(base, keys, network.LinkOptions{
		Callers:   t.Callers,
		Peers:     t.Peers,
		Upstreams: t.Upstreams,
		Platform:  t.Platform,
		PeerName:  t.PeerName,
	})
}
