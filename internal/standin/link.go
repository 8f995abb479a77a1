package standin

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

const (
	// headerBytes is what a packet without payload occupies of a link, such as those of a handshake.
	headerBytes = 66
	// maxSegmentBytes is the size of the largest segment.
	maxSegmentBytes = 1460
)

// Link is the link of one host to the network, with one direction for what the host sends and one for what it receives.
type Link struct{ Out, In *Direction }

// NewLink returns an idle link with the same rate in both directions.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{Out: &Direction{bytesPerSecond: bytesPerSecond}, In: &Direction{bytesPerSecond: bytesPerSecond}}
}

// SetDelay delays what passes from now on in both directions.
func (l *Link) SetDelay(d time.Duration) {
	l.Out.SetDelay(d)
	l.In.SetDelay(d)
}

// Direction is one direction of a link. The connections with bytes that wait take turns, segment by segment, so that each
// message takes the longer the more others are on their way. Bytes that were handed over pass also if nobody wants them any
// more. It is safe for concurrent use.
type Direction struct {
	mu             sync.Mutex
	bytesPerSecond float64
	// delay is how much later what has passed arrives.
	delay time.Duration
	// active holds the flows with segments that wait, the next one first. passing is set while a goroutine lets them pass.
	active  []*flow
	passing bool
	sent    int64
}

// flow holds the segments of a connection that wait.
type flow struct{ segments []segment }

// segment is a number of bytes; arrived is called with the time of their arrival once they have passed.
type segment struct {
	bytes   int
	arrived func(at time.Time)
}

// SetRate changes the rate.
func (d *Direction) SetRate(bytesPerSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytesPerSecond = bytesPerSecond
}

// SetDelay delays what passes from now on.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Sent returns the number of bytes that have passed.
func (d *Direction) Sent() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent
}

// send queues n bytes of a flow and calls arrived with the time of arrival of the last one.
func (d *Direction) send(f *flow, n int, arrived func(at time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(f.segments) == 0 {
		d.active = append(d.active, f)
	}
	for ; n > maxSegmentBytes; n -= maxSegmentBytes {
		f.segments = append(f.segments, segment{bytes: maxSegmentBytes, arrived: func(time.Time) {}})
	}
	f.segments = append(f.segments, segment{bytes: n, arrived: arrived})
	if !d.passing {
		d.passing = true
		go d.pass()
	}
}

// pass lets one segment of each flow after the other pass until none waits.
func (d *Direction) pass() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.active) > 0 {
		f := d.active[0]
		d.active = d.active[1:]
		s := f.segments[0]
		f.segments = f.segments[1:]
		if len(f.segments) > 0 {
			d.active = append(d.active, f)
		}
		d.sent += int64(s.bytes)
		took := time.Duration(float64(s.bytes) / d.bytesPerSecond * float64(time.Second))
		d.mu.Unlock()
		time.Sleep(took)
		d.mu.Lock()
		s.arrived(time.Now().Add(d.delay))
	}
	d.passing = false
}

// Await sends n bytes and waits until they have arrived or ctx is done.
func (d *Direction) Await(ctx context.Context, n int) error {
	arrival := make(chan time.Time, 1)
	d.send(&flow{}, n, func(at time.Time) { arrival <- at })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case at := <-arrival:
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		}
	}
}

// Linked is a network whose host sends over a link. It implements network.Network.
type Linked struct {
	base network.Network
	link *Link
}

// NewLinked returns base as seen from a host with the given link. Both hosts of a connection should be Linked.
func NewLinked(base network.Network, l *Link) *Linked { return &Linked{base: base, link: l} }

// Listen implements network.Network.
func (n *Linked) Listen(address string) (net.Listener, error) {
	l, err := n.base.Listen(address)
	if err != nil {
		return nil, err
	}
	return &linkedListener{Listener: l, link: n.link}, nil
}

// DialContext implements network.Network. The handshake waits behind what the host sends and receives.
func (n *Linked) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	if err := n.link.Out.Await(ctx, headerBytes); err != nil {
		return nil, err
	}
	if err := n.link.In.Await(ctx, headerBytes); err != nil {
		return nil, err
	}
	raw, err := n.base.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return newLinkedConn(raw, n.link), nil
}

type linkedListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *linkedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newLinkedConn(raw, l.link), nil
}

// packet is data that arrives at a time.
type packet struct {
	data    []byte
	arrives time.Time
}

// linkedConn is a connection whose bytes pass a link.
type linkedConn struct {
	net.Conn
	link    *Link
	out, in flow
	packets chan packet
	ended   chan struct{}
	endOnce sync.Once
}

// maxPackets bounds the writes that have passed and were not read yet.
const maxPackets = 1 << 12

func newLinkedConn(raw net.Conn, l *Link) *linkedConn {
	c := &linkedConn{Conn: raw, link: l, packets: make(chan packet, maxPackets), ended: make(chan struct{})}
	go c.deliver()
	return c
}

// Write implements net.Conn. Like a large send buffer, it takes all bytes at once.
func (c *linkedConn) Write(p []byte) (int, error) {
	select {
	case <-c.ended:
		return 0, net.ErrClosed
	default:
	}
	data := bytes.Clone(p)
	c.link.Out.send(&c.out, len(p)+headerBytes, func(at time.Time) {
		select {
		case c.packets <- packet{data: data, arrives: at}:
		case <-c.ended:
		}
	})
	return len(p), nil
}

// deliver passes on what arrives.
func (c *linkedConn) deliver() {
	for {
		select {
		case <-c.ended:
			return
		case p := <-c.packets:
			time.Sleep(time.Until(p.arrives))
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		}
	}
}

// Read implements net.Conn.
func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		arrival := make(chan time.Time, 1)
		c.link.In.send(&c.in, n, func(at time.Time) { arrival <- at })
		time.Sleep(time.Until(<-arrival))
	}
	return n, err
}

// Close implements net.Conn.
func (c *linkedConn) Close() error {
	c.endOnce.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
