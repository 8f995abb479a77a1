package network

// Links holds the Network of each kind of connection of a daemon.
type Links struct {
	// Callers accepts connections from callers.
	Callers Network
	// Peers accepts connections from other daemons and operators, and opens
	// connections to other daemons.
	Peers Network
	// Upstreams opens connections to engines and services.
	Upstreams Network
	// Platform opens connections to the log service, VM list and weight store.
	Platform Network
}

// LinkOptions selects the links that use TLS.
type LinkOptions struct {
	Callers   bool
	Peers     bool
	Upstreams bool
	Platform  bool
	// PeerName is the DNS name that certificates of peers must contain, if not empty.
	PeerName string
}

// NewLinks returns links over base. The links that opts selects use TLS with keys.
func NewLinks(base Network, keys *Keys, opts LinkOptions) Links {
	secure := func(enabled bool, o SecureOptions) Network {
		if !enabled {
			return base
		}
		return NewSecure(base, keys, o)
	}
	return Links{
		Callers:   secure(opts.Callers, SecureOptions{}),
		Peers:     secure(opts.Peers, SecureOptions{Mutual: true, PeerName: opts.PeerName}),
		Upstreams: secure(opts.Upstreams, SecureOptions{}),
		Platform:  secure(opts.Platform, SecureOptions{}),
	}
}
