package routing

import "sync/atomic"

// heldSlots bounds the prefixes that are remembered of one engine, 8 KB each.
const heldSlots = 1024

// heldSet remembers which prompt prefixes an engine is believed to hold. A newer
// prefix replaces an older one in the same slot. It is safe for concurrent use.
type heldSet struct {
	slots atomic.Pointer[[heldSlots]atomic.Uint64]
}

func (h *heldSet) set(prefix uint64, held bool) {
	slots := h.slots.Load()
	if slots == nil {
		h.slots.CompareAndSwap(nil, new([heldSlots]atomic.Uint64))
		slots = h.slots.Load()
	}
	if slots == nil || prefix == 0 {
		return
	}
	slot := &slots[mix(prefix)%heldSlots]
	if held {
		slot.Store(prefix)
		return
	}
	slot.CompareAndSwap(prefix, 0)
}

func (h *heldSet) has(prefix uint64) bool {
	slots := h.slots.Load()
	return slots != nil && prefix != 0 && slots[mix(prefix)%heldSlots].Load() == prefix
}

func (h *heldSet) clear() { h.slots.Store(nil) }
