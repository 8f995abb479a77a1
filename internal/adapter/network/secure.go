package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// SecureOptions configures a Secure network.
type SecureOptions struct {
	// Mutual makes listeners require a certificate that the CA signed.
	Mutual bool
	// PeerName, when not empty, is the DNS name that the other side's certificate
	// must carry. Without it a server's certificate must carry its IP address.
	PeerName string
}

// Secure is a Network whose connections are TLS over those of another Network.
type Secure struct {
	base Network
	keys *Keys
	opts SecureOptions
}

// NewSecure returns a Secure network. Each handshake uses the newest keys.
func NewSecure(base Network, keys *Keys, opts SecureOptions) *Secure {
	return &Secure{base: base, keys: keys, opts: opts}
}

// Listen implements Network. The handshake takes place at the first read, so that
// a slow client does not hold up Accept.
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

// serverConfig has no session tickets: a resumed session would skip the check of
// the client's certificate against a CA that has changed since.
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

// verifyClient checks the name of a client whose certificate the CA signed.
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
	// The connection was never used, so its close error changes nothing.
	_ = raw.Close()
	return nil, err
}

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

// ConfigureTransport makes a transport use nw, also for URLs with the scheme
// https when nw is Secure.
func ConfigureTransport(transport *http.Transport, nw Network) {
	transport.DialContext = nw.DialContext
	if secure, ok := nw.(*Secure); ok {
		transport.DialTLSContext = secure.DialContext
	}
}
