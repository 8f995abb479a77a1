package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"go.uber.org/zap"
)

const (
	// configFetchTimeout bounds the fetch of the configuration from a peer. What arrives late is still of use, so that it is
	// longer than that of other calls.
	configFetchTimeout = 4 * time.Second
	// maxConfigFetches is the number of peers from which the configuration is fetched at the same time. Another one is asked
	// once those before have had peerTimeout.
	maxConfigFetches = 3
	// configFetchPause is the pause after a fetch from a peer that failed.
	configFetchPause = 300 * time.Millisecond
	// maxConfigBytes bounds the size of a decompressed configuration.
	maxConfigBytes = 16 << 20
)

// configQuestion asks for the configuration in force. Daemons of earlier versions send and read no fields, and answer with
// the record as it was published.
type configQuestion struct {
	// Gzip is set if the answer may be compressed.
	Gzip bool `json:"gzip,omitempty"`
}

// learnOfConfig fetches the configuration of a peer if its version is newer than the one in force here.
func (p *peers) learnOfConfig(from, address string, version int64) {
	if p.config.lag.heard(p.log, from, version, p.config.version()) {
		p.fetchConfig(address)
	}
}

// beginConfigFetch reports whether the configuration is to be fetched from a peer now.
func (p *peers) beginConfigFetch(address string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, running := p.configFetches[address]; running || len(p.configFetches) >= maxConfigFetches {
		return false
	}
	for _, began := range p.configFetches {
		if now.Sub(began) < peerTimeout {
			return false
		}
	}
	p.configFetches[address] = now
	return true
}

// fetchConfig fetches and installs the configuration of a peer in the background, unless enough fetches are running.
func (p *peers) fetchConfig(address string) {
	if !p.beginConfigFetch(address) {
		return
	}
	go p.runRecovered(methodConfig, func() {
		defer func() {
			p.mu.Lock()
			delete(p.configFetches, address)
			p.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
		defer cancel()
		var value []byte
		err := p.dial(address).Call(ctx, methodConfig, configQuestion{Gzip: true}, &value)
		if err == nil {
			value, err = decompressConfig(value)
		}
		if err != nil {
			p.config.lag.readFailed(err)
			p.log.Warn("fetching the configuration from a daemon failed", zap.String("peer-address", address), zap.Error(err))
			time.Sleep(configFetchPause)
		} else if len(value) > 0 {
			p.config.install(value, "peer")
		}
	})
}

func (p *peers) handleConfig(_ context.Context, params json.RawMessage) (any, error) {
	var q configQuestion
	if len(params) > 0 {
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
	}
	if q.Gzip {
		return p.config.compressedRecord(), nil
	}
	return p.config.publishedRecord(), nil
}

// gzipMagic begins compressed data, and no published record.
var gzipMagic = []byte{0x1f, 0x8b}

func compressConfig(record []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer cannot fail.
	_, _ = w.Write(record)
	_ = w.Close()
	return b.Bytes()
}

func decompressConfig(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxConfigBytes))
}
