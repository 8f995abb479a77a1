package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var errNoConnection = errors.New("no connection")

// silence is how long a client of the stream route waits for an event: four times the objective of 800 ms.
const silence = 3200 * time.Millisecond

// attempt is what a client attempt has seen.
type attempt struct {
	id, daemon string
	sentAt     time.Time
	// status is 0 if there was no answer.
	status     int
	retryAfter time.Duration
	seal       string
	// events is the number of events that it brought, whole is set if the answer came to its end.
	events int
	whole  bool
	err    error
}

// streamState is what a client has received of one stream over its attempts.
type streamState struct {
	first    string
	last     int
	versions []string
	deadline time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// host and prefix of the stream route.
const (
	siteHost     = "ficu95.example"
	streamPrefix = "/lohu930/"
	unsafePrefix = "/puxa403/"
)

// dialer opens a connection for a client attempt and returns the daemon at its other end.
type dialer func() (net.Conn, *daemon, error)

// streamAttempt sends one attempt of a stream and reads its events.
func streamAttempt(dial dialer, rec *recorder, prompt string, s *streamState) *attempt {
	a := &attempt{id: newID(), sentAt: time.Now()}
	conn, d, err := dial()
	if d != nil {
		a.daemon = d.name
	}
	if err != nil {
		a.err = err
		rec.add("client: attempt %s gets no connection to %s: %v", a.id, a.daemon, err)
		return a
	}
	defer conn.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", streamPrefix, siteHost, a.id)
	if s.last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Remaining: %d\r\n", prompt, time.Until(s.deadline).Milliseconds())
	body := "{\"prompt\":\"" + prompt + "\"}"
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	a.sentAt = time.Now()
	rec.add("client: attempt %s to %s, after event %d, takes up %q", a.id, a.daemon, s.last, s.first)
	_ = conn.SetDeadline(earlier(time.Now().Add(silence), s.deadline))
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		rec.add("client: attempt %s ends without an answer: %v", a.id, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.status != http.StatusOK {
		rec.add("client: attempt %s is answered %d by %s, seal %q, Retry-After %v", a.id, a.status, a.daemon, a.seal, a.retryAfter)
		return a
	}
	lines := bufio.NewReader(response.Body)
	id, version := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.whole, a.err = err == io.EOF, err
			break
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			version = line[strings.LastIndex(line, " ")+1:]
		case line == "" && id > 0:
			if s.last == 0 {
				s.first = a.id
			}
			if id != s.last+1 {
				rec.add("client: attempt %s: event %d follows event %d", a.id, id, s.last)
			}
			s.last = id
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
			a.events++
			id = 0
			_ = conn.SetDeadline(earlier(time.Now().Add(silence), s.deadline))
		}
	}
	rec.add("client: attempt %s at %s brought %d events, the last is %d, whole %t (%v)", a.id, a.daemon, a.events, s.last, a.whole, a.err)
	return a
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
