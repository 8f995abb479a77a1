package port

import (
	"context"
	"encoding/json"
)

// Peer is the client of another daemon. Calls use jsonrpc2.
type Peer interface {
	// Call invokes a method and decodes its result into result.
	Call(ctx context.Context, method string, params, result any) error
}

// PeerDialer returns the client of the daemon at host:port peer address.
type PeerDialer func(address string) Peer

// PeerHandler handles calls of one method of the peer interface.
type PeerHandler func(ctx context.Context, params json.RawMessage) (any, error)
