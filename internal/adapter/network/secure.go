package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// SecureOptions configures a Secure network.
type SecureOptions struct {
	// Mutual makes listeners require a client certificate signed by the CA.
	Mutual bool
	// PeerName, when not empty, is the DNS name that the certificate of the other side
	// must contain. When empty, a server's certificate must contain the host name or IP
	// address that is dialed, and client certificates may have any name.
	PeerName string
}

// Secure is a Network that uses TLS over the connections of another Network.
type Secure struct {
	base Network
	keys *Keys
	opts SecureOptions
}

// NewSecure returns a Secure network over base. Each handshake uses the newest valid keys.
func NewSecure(base Network, keys *Keys, opts SecureOptions) *Secure {
	return &Secure{base: base, keys: keys, opts: opts}
}

// Listen implements Network. The handshake takes place at the first read or write, so that
// a slow client does not delay Accept.
func (s *Secure) Listen(address string) (net.Listener, error) {
	l, err := s.base.Listen(address)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
	}
	return tls.NewListener(l, config), nil
}

// serverConfig returns the TLS configuration for one handshake. Session tickets are
// disabled because a resumed session would skip the check of the client's certificate
// against a CA that has changed in the meantime.
func (s *Secure) serverConfig() *tls.Config {
	identity := s.keys.identity()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS12,
		Certificates:           []tls.Certificate{identity.certificate},
		NextProtos:             []string{"http/1.1"},
		SessionTicketsDisabled: true,
	}
	if s.opts.Mutual {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = identity.authorities
		config.VerifyConnection = s.verifyClient
	}
	return config
}

// verifyClient checks that the client's certificate, which was verified against the CA,
// contains PeerName.
func (s *Secure) verifyClient(state tls.ConnectionState) error {
	if s.opts.PeerName == "" {
		return nil
	}
	return state.PeerCertificates[0].VerifyHostname(s.opts.PeerName)
}

// DialContext implements Network. It returns after the handshake.
func (s *Secure) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := s.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config, err := s.clientConfig(address)
	if err == nil {
		conn := tls.Client(raw, config)
		if err = conn.HandshakeContext(ctx); err == nil {
			return conn, nil
		}
	}
	// The close error is irrelevant because the connection was not used.
	_ = raw.Close()
	return nil, err
}

// clientConfig returns the TLS configuration for a connection to address.
func (s *Secure) clientConfig(address string) (*tls.Config, error) {
	name := s.opts.PeerName
	if name == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		name = host
	}
	identity := s.keys.identity()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   name,
		RootCAs:      identity.authorities,
		Certificates: []tls.Certificate{identity.certificate},
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// ConfigureTransport makes transport open its connections through nw. If nw is a *Secure,
// this includes connections for https URLs.
func ConfigureTransport(transport *http.Transport, nw Network) {
	transport.DialContext = nw.DialContext
	if secure, ok := nw.(*Secure); ok {
		transport.DialTLSContext = secure.DialContext
	}
}
