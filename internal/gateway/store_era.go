package gateway

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// storeEra is the newest era of the metadata store that this daemon knows, by its own calls or from
// peers; see port.Position. The zero value knows none.
type storeEra struct {
	log    *zap.Logger
	newest atomic.Int64
}

// current returns the newest known era, or 0.
func (e *storeEra) current() int64 { return e.newest.Load() }

// observe records an era.
func (e *storeEra) observe(era int64) {
	for {
		known := e.newest.Load()
		if era <= known {
			return
		}
		if !e.newest.CompareAndSwap(known, era) {
			continue
		}
		if known > 0 {
			e.log.Warn("metadata store came back from an older copy", zap.Int64("store-era", era), zap.Int64("previous-era", known))
		}
		return
	}
}
