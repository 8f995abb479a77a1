package exchange

import "sync"

// connCounts counts the open connections by address, and limits them.
type connCounts struct {
	mu   sync.Mutex
	open map[string]int
	// limit returns the number of connections to an address that may be open; 0 means that it is not limited. It may be
	// nil.
	limit func(address string) int
}

// burstFactor is the multiple of the limit up to which connections may be open that all carry requests. A server's load is
// uneven over the daemons that share its connections, so that one may need more for a moment.
const burstFactor = 3

// add counts a connection that is about to be opened, and reports whether it may be. burst allows it up to burstFactor
// times the limit.
func (n *connCounts) add(address string, burst bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.open[address] + 1
	if burst {
		open = (open + burstFactor - 1) / burstFactor
	}
	if n.exceeds(address, open) {
		return false
	}
	n.open[address]++
	return true
}

// remove counts a connection that was closed, or could not be opened.
func (n *connCounts) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open[address]--; n.open[address] <= 0 {
		delete(n.open, address)
	}
}

// exceeded reports whether more connections are open than may be, as after the limit was lowered.
func (n *connCounts) exceeded(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exceeds(address, n.open[address])
}

// exceeds reports whether a number of connections is above the limit. n.mu must be held.
func (n *connCounts) exceeds(address string, count int) bool {
	if n.limit == nil {
		return false
	}
	limit := n.limit(address)
	return limit > 0 && count > limit
}

// LimitConnections sets the function that returns how many connections to an address may be open, 0 for any number.
// Beyond it, an idle one is closed for a new one. If there is none, burstFactor times as many may be open; then requests
// fail with port.ErrConnectionLimit.
func (c *Client) LimitConnections(limit func(address string) int) {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	c.counts.limit = limit
}

// admit counts a connection that is about to be opened, and closes an idle one for it if necessary. It reports whether it
// may be opened.
func (c *Client) admit(address string) bool {
	for !c.counts.add(address, false) {
		if !c.closeIdle(address) {
			return c.counts.add(address, true)
		}
	}
	return true
}

// closeIdle closes the idle connection to an address that was unused for longest. It reports whether there was one.
func (c *Client) closeIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return false
	}
	list[0].Close()
	c.idle[address] = list[1:]
	return true
}
