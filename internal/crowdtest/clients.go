// Package crowdtest holds clients that do not behave, for tests of how a daemon bears many of them at once.
package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// endlessBytes is the number of bytes after which a client that would send without end gives up.
	endlessBytes = 4 << 20
	// missingBytes is the number of bytes that are not sent of a body that stops short of its end.
	missingBytes = 100
	// repeats is the number of requests that a client sends on a connection that it keeps.
	repeats = 8
	// sendTimeout bounds how long a client tries to send or to read an answer.
	sendTimeout = 20 * time.Second
)

// Request describes the requests of a crowd.
type Request struct {
	// Line is the request line, Header the header lines that every request needs, with their line ends.
	Line, Header string
	// HeadBytes and BodyBytes are the sizes of the largest legal head and body.
	HeadBytes, BodyBytes int
	// OverLimitBytes is the size of a head that is over the limit.
	OverLimitBytes int
}

// Kind is a way not to behave.
type Kind struct {
	Name string
	// Send writes what one client sends to a new connection. It returns when all is sent, when the connection has ended, or
	// when the rest will be sent as long as the connection is open. The caller keeps the connection open.
	Send func(c net.Conn)
}

// nameCharacters are those of the header names of ShortLines and OddLines. Upper-case letters are not among them, because
// net/http does not distinguish them in names.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"

// name returns the shortest unused name of a header line.
func name(i int) string {
	const n = len(nameCharacters)
	out := string(nameCharacters[i%n]) + string(nameCharacters[i/n%n])
	if i >= n*n {
		out += string(nameCharacters[i/n/n%n])
	}
	return out
}

// fill returns a request head of exactly size bytes without the empty line at its end, whose further lines come from line.
func (r Request) fill(size int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(r.Line + "\r\n" + r.Header)
	const padding, end = "padding:", "\r\n"
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next)+len(padding+end) > size-len(end) {
			break
		}
		b.WriteString(next)
	}
	b.WriteString(padding + strings.Repeat("x", size-len(end)-b.Len()-len(padding+end)) + end)
	return b.String()
}

// ShortLines returns a request head without the empty line at its end, which is of the given size with it. It has as many
// lines of different names as fit, and then the lines in extra.
func (r Request) ShortLines(size int, extra string) string {
	r.Header += extra
	return r.fill(size, func(i int) string { return name(i) + ":\r\n" })
}

// OddLines returns a head like ShortLines does, whose lines end without a carriage return, have one name, or continue the
// line before.
func (r Request) OddLines(size int, extra string) string {
	r.Header += extra
	return r.fill(size, func(i int) string {
		switch i % 4 {
		case 0:
			return "a:\n"
		case 1:
			return name(i) + ": \t \n\tb\n"
		case 2:
			return name(i) + ":\n"
		default:
			return "Set-Cookie:;\n"
		}
	})
}

// Kinds returns all kinds of clients, the last of which are a mix of the others.
func (r Request) Kinds() []Kind {
	const end = "\r\n"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	ordinary := r.Line + "\r\n" + r.Header + length(0) + end
	overLimit := r.ShortLines(r.OverLimitBytes, length(0)) + end
	short, odd := r.ShortLines(r.HeadBytes, length(0)), r.OddLines(r.HeadBytes, length(0))
	shortWithBody, oddWithBody := r.ShortLines(r.HeadBytes, length(r.BodyBytes))+end, r.OddLines(r.HeadBytes, length(r.BodyBytes))+end
	body := strings.Repeat(" ", r.BodyBytes-missingBytes)
	shortWithChunks := r.ShortLines(r.HeadBytes, "Transfer-Encoding: chunked\r\n") + end + chunks(body)
	var manyLines strings.Builder
	for i := range 8192 {
		manyLines.WriteString(name(i) + ":\r\n")
	}
	kinds := []Kind{
		{"a line without end", func(c net.Conn) { write(c, r.Line+"\r\n"+r.Header+"a: "); endless(c, strings.Repeat("x", 16<<10)) }},
		{"a request line without end", func(c net.Conn) { endless(c, strings.Repeat("x", 16<<10)) }},
		{"lines without end", func(c net.Conn) { write(c, r.Line+"\r\n"+r.Header); endless(c, manyLines.String()) }},
		{"heads over the limit", func(c net.Conn) { write(c, overLimit) }},
		{"empty lines without end", func(c net.Conn) { endless(c, strings.Repeat(end, 8<<10)) }},
		{"empty lines without end after a request", func(c net.Conn) { roundTrip(c, ordinary); endless(c, strings.Repeat(end, 8<<10)) }},
		{"heads of short lines that stop short", func(c net.Conn) { write(c, short) }},
		{"heads of odd lines that stop short", func(c net.Conn) { write(c, odd) }},
		{"heads of short lines in pieces", func(c net.Conn) { pieces(c, short, r.HeadBytes/64) }},
		{"heads of short lines, bodies that stop short", func(c net.Conn) { write(c, shortWithBody+body) }},
		{"heads of odd lines, bodies that stop short", func(c net.Conn) { write(c, oddWithBody+body) }},
		{"heads of short lines, bodies in pieces", func(c net.Conn) { write(c, shortWithBody); pieces(c, body, 16<<10) }},
		{"heads of short lines, chunks that stop short", func(c net.Conn) { write(c, shortWithChunks) }},
		{"requests of short lines on a kept connection", func(c net.Conn) { roundTrips(c, short+end) }},
		{"requests of odd lines on a kept connection", func(c net.Conn) { roundTrips(c, odd+end) }},
		{"requests of short lines whose responses are not read", func(c net.Conn) { write(c, strings.Repeat(short+end, repeats)) }},
		{"kept connections, heads that stop short", func(c net.Conn) { roundTrips(c, ordinary); write(c, short) }},
		{"kept connections, bodies that stop short", func(c net.Conn) { roundTrips(c, ordinary); write(c, shortWithBody+body) }},
	}
	kinds = append(kinds,
		Kind{"heads byte by byte", func(c net.Conn) { write(c, r.Line+"\r\n"+r.Header+"a: "); go trickle(c) }},
		Kind{"bodies byte by byte", func(c net.Conn) { write(c, r.Line+"\r\n"+r.Header+length(r.BodyBytes)+end); go trickle(c) }},
		Kind{"heads of short lines, bodies byte by byte", func(c net.Conn) { write(c, shortWithBody); go trickle(c) }},
	)
	var next atomic.Int64
	all := kinds
	return append(kinds, Kind{"all kinds", func(c net.Conn) { all[int(next.Add(1))%len(all)].Send(c) }})
}

// LargestRequests returns the largest legal requests, whose heads have as many lines as possible, by name. The bodies begin
// with the text content.
func (r Request) LargestRequests(content string) map[string][]byte {
	body := content + strings.Repeat(" ", r.BodyBytes-len(content))
	length := fmt.Sprintf("Content-Length: %d\r\n", r.BodyBytes)
	return map[string][]byte{
		"short lines, a length": []byte(r.ShortLines(r.HeadBytes, length) + "\r\n" + body),
		"odd lines, a length":   []byte(r.OddLines(r.HeadBytes, length) + "\r\n" + body),
		"short lines, chunks":   []byte(r.ShortLines(r.HeadBytes, "Transfer-Encoding: chunked\r\n") + "\r\n" + chunks(body) + "0\r\n\r\n"),
	}
}

// chunks returns a body in chunks, without the last one.
func chunks(body string) string {
	const size = 64 << 10
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

// write writes text and reports whether that succeeded.
func write(c net.Conn, text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := io.WriteString(c, text)
	return err == nil
}

// endless writes text again and again until the connection ends, or endlessBytes are written.
func endless(c net.Conn, text string) {
	for sent := 0; sent < endlessBytes && write(c, text); sent += len(text) {
	}
}

// pieces writes text in pieces with pauses.
func pieces(c net.Conn, text string, size int) {
	for len(text) > 0 {
		n := min(size, len(text))
		if !write(c, text[:n]) {
			return
		}
		text = text[n:]
		time.Sleep(5 * time.Millisecond)
	}
}

// trickle sends one byte after another until the connection ends.
func trickle(c net.Conn) {
	for write(c, "x") {
		time.Sleep(100 * time.Millisecond)
	}
}

// roundTrip sends a request, reads its response whole, and reports whether another request may follow.
func roundTrip(c net.Conn, request string) bool {
	_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
	if !write(c, request) {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// roundTrips sends a request several times.
func roundTrips(c net.Conn, request string) {
	for range repeats {
		if !roundTrip(c, request) {
			return
		}
	}
}

// OtherSource is a loopback address from which a single client can send that is no part of a crowd.
const OtherSource = "127.0.0.2"

// Answer sends a request on a new connection from the loopback address source, or any if that is empty, and returns the status
// of its response.
func Answer(source, address string, request []byte) (status int, err error) {
	dialer := net.Dialer{}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(sendTimeout))
	// A server that refuses the request may close the connection before it has read all of it.
	_, writeErr := c.Write(request)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, fmt.Errorf("no response: %w, writing: %w", err, writeErr)
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
