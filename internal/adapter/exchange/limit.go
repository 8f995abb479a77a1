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

// add counts a connection that is about to be opened, and reports whether it may be.
func (n *connCounts) add(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.exceeds(address, n.open[address]+1) {
		return false
	}
	n.open[address]++
	return true
}

// reserve counts a connection that takes the place of one that has ended, whatever the limit.
func (n *connCounts) reserve(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[address]++
}

// remove counts a connection that was closed, or could not be opened.
func (n *connCounts) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open[address]--; n.open[address] <= 0 {
		delete(n.open, address)
	}
}

// only reports whether no other connection to an address is open beside one.
func (n *connCounts) only(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open[address] == 1
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
// When no more may be opened, an idle one is closed for a new one; if there is none, requests fail with
// port.ErrConnectionLimit.
func (c *Client) LimitConnections(limit func(address string) int) {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	c.counts.limit = limit
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
