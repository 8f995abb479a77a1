package clientconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/crowdtest"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// testRequest describes the requests of the tests of heads.
var testRequest = crowdtest.Request{Line: "POST /x HTTP/1.1", Header: "Host: site.example\r\n"}

// shortLines returns a whole request of the given size without a body, whose head has as many lines as possible.
func shortLines(size int) string {
	return testRequest.ShortLines(size, "Content-Length: 0\r\n") + "\r\n"
}

// newLimitedServer returns a server whose process has the given memory.
func newLimitedServer(t *testing.T, processMemory int64, handler http.HandlerFunc) *connServer {
	s := newConnServer(t, handler)
	s.conns.memory.SetMemory(processMemory)
	s.serve()
	return s
}

// awaitReleased checks that the memory of all requests is released.
func (s *connServer) awaitReleased(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(connTestLimit); ; time.Sleep(time.Millisecond) {
		m := s.conns.memory.Status()
		if m.Heads == 0 && m.Bodies == 0 && m.Responses == 0 && m.Unfinished == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("memory is still held: %+v", m)
		}
	}
}

// awaitCharged waits until the beginning of a head, which has no end, is charged whole.
func (s *connServer) awaitCharged(t *testing.T, head string) {
	t.Helper()
	cost := memory.HeadCost(int64(len(head)), int64(strings.Count(head, "\n"))) - memory.FreeHeadBytes
	for deadline := time.Now().Add(connTestLimit); s.conns.memory.Used(memory.Heads) < cost; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("heads count with %d bytes, want %d", s.conns.memory.Used(memory.Heads), cost)
		}
	}
}

func wantStatus(t *testing.T, r *bufio.Reader, status int) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != status {
		t.Fatalf("status %d, error %v, want status %d", response.StatusCode, err, status)
	}
	return response
}

// Guards against a head without end or over the limit that is read or served, gets no answer, or whose answer is lost because
// the client is still sending.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"one line":    testRequest.Line + "\r\nHost: h\r\na: " + strings.Repeat("x", 64<<10),
		"many lines":  testRequest.ShortLines(64<<10, ""),
		"whole":       shortLines(64 << 10),
		"empty lines": wholeRequest + testRequest.Line + "\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 16<<10),
	} {
		t.Run(name, func(t *testing.T) {
			s := newConnServer(t, answerNothing)
			s.conns.SetMaxHeadBytes(16 << 10)
			s.serve()
			c, r := s.dial(t)
			write(t, c, head)
			if strings.HasPrefix(head, wholeRequest) {
				wantAnswer(t, r)
			}
			if response := wantStatus(t, r, http.StatusRequestHeaderFieldsTooLarge); !response.Close {
				t.Error("the response does not announce the end of the connection")
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection is open or was reset: %v", err)
			}
			s.awaitReleased(t)
		})
	}
}

// Guards against a limit that refuses a legal head, also if its lines are as short as possible and more of the client's bytes
// follow it.
func TestLargestHeadIsServed(t *testing.T) {
	s := newConnServer(t, func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); n != 8<<10 || err != nil {
			t.Errorf("the body has %d bytes, error %v", n, err)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	const size = 16 << 10
	s.conns.memory = memory.NewRequestBudget(1, size)
	s.conns.SetMaxHeadBytes(size)
	s.serve()
	c, r := s.dial(t)
	for _, head := range []string{testRequest.ShortLines(size, "Content-Length: 8192\r\n"), testRequest.OddLines(size, "Content-Length: 8192\r\n")} {
		for range 3 {
			write(t, c, head+"\r\n"+strings.Repeat("\n", 8<<10))
			wantAnswer(t, r)
		}
	}
}

// Guards against heads for which there is no memory that are served, or refused as malformed; and against memory that is not
// given back when other requests end.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := newLimitedServer(t, 8<<20, func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	c, r := s.dial(t)
	write(t, c, shortLines(12<<10))
	<-entered
	held := s.conns.memory.Used(memory.Heads)
	if lines := int64(12 << 10 / len("aa:\r\n")); held < memory.HeadCost(0, lines)/2 {
		t.Errorf("a head of about %d lines counts with %d bytes", lines, held)
	}
	other, otherReader := s.dial(t)
	write(t, other, shortLines(12<<10))
	wantStatus(t, otherReader, http.StatusServiceUnavailable)
	ordinary, ordinaryReader := s.dial(t)
	write(t, ordinary, wholeRequest)
	<-entered
	close(release)
	wantAnswer(t, r)
	wantAnswer(t, ordinaryReader)
	// A client has its response before the server returns the memory.
	s.awaitReleased(t)
	go func() { <-entered }()
	again, againReader := s.dial(t)
	write(t, again, shortLines(12<<10))
	wantAnswer(t, againReader)
	s.awaitReleased(t)
}

// Guards against the heads of pipelined requests, which the server has already read with those before, that are not charged.
func TestPipelinedHeadsAreCharged(t *testing.T) {
	held := make(chan int64, 2)
	var s *connServer
	s = newLimitedServer(t, 64<<20, func(w http.ResponseWriter, _ *http.Request) {
		held <- s.conns.memory.Used(memory.Heads)
		w.WriteHeader(http.StatusNoContent)
	})
	c, r := s.dial(t)
	write(t, c, wholeRequest+shortLines(3<<10))
	wantAnswer(t, r)
	wantAnswer(t, r)
	if first, second := <-held, <-held; first != 0 || second < memory.HeadCost(0, 400) {
		t.Errorf("an ordinary head counts with %d bytes, the one with it with %d", first, second)
	}
	s.awaitReleased(t)
}

// Guards against a stalled head or body that keeps the memory from a head of another client, and gets no truthful answer.
func TestStalledRequestGivesWayToHead(t *testing.T) {
	for name, request := range map[string]string{
		"head": testRequest.ShortLines(12<<10, ""),
		"body": testRequest.ShortLines(12<<10, "Content-Length: 100\r\n") + "\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			reading := make(chan struct{}, 2)
			var s *connServer
			s = newLimitedServer(t, 8<<20, func(w http.ResponseWriter, r *http.Request) {
				if r.ContentLength > 0 {
					held := RequestMemory(s.conns.memory, w, r)
					held.Grow(time.Now(), memory.Bodies, 100)
					reading <- struct{}{}
					_, err := io.Copy(io.Discard, r.Body)
					if held.Finish() || err == nil {
						t.Errorf("the request is still in memory, error %v", err)
					}
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.WriteHeader(http.StatusNoContent)
			})
			stalled, stalledReader := s.dial(t)
			write(t, stalled, request)
			if name == "body" {
				<-reading
			} else {
				s.awaitCharged(t, request)
			}
			for deadline := time.Now().Add(connTestLimit); ; time.Sleep(50 * time.Millisecond) {
				c, r := s.dial(t)
				write(t, c, shortLines(12<<10))
				response, err := http.ReadResponse(r, nil)
				if err == nil && response.StatusCode == http.StatusNoContent {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("a head is not served beside a stalled one: %v, error %v", response, err)
				}
			}
			wantStatus(t, stalledReader, http.StatusServiceUnavailable)
			s.awaitReleased(t)
		})
	}
}

// Guards against memory that is lost when a request ends in any way: by its response, a reset, a panic, a refusal, an
// eviction, beside others and on kept connections.
func TestHeadsAreReleasedHoweverRequestsEnd(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		s := newLimitedServer(t, 16<<20, func(w http.ResponseWriter, r *http.Request) {
			held := RequestMemory(memory.NewBudget(0), w, r)
			held.Grow(time.Now(), memory.Bodies, 1000)
			_, err := io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/panic" || err != nil || !held.Finish() {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusNoContent)
		})
		s.conns.SetMaxHeadBytes(16 << 10)
		requests := []string{
			wholeRequest, shortLines(2 << 10), shortLines(14 << 10), shortLines(40 << 10),
			testRequest.OddLines(14<<10, "Content-Length: 10\r\n") + "\r\n0123456789",
			testRequest.ShortLines(14<<10, "Content-Length: 10\r\n") + "\r\n01234",
			testRequest.ShortLines(14<<10, ""),
			strings.Replace(shortLines(14<<10), "/x", "/panic", 1),
			shortLines(1<<10) + shortLines(3<<10) + shortLines(2<<10),
			"\r\n\r\n" + shortLines(1<<10), "malformed\r\n\r\n",
		}
		var clients sync.WaitGroup
		for i := range 20 {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			c, r := s.dial(t)
			clients.Go(func() {
				defer c.Close()
				for range 6 {
					if _, err := io.WriteString(c, requests[random.IntN(len(requests))]); err != nil {
						return
					}
					_ = c.SetReadDeadline(time.Now().Add(time.Duration(random.IntN(50)) * time.Millisecond))
					if response, err := http.ReadResponse(r, nil); err != nil || response.Close {
						break
					}
				}
				if random.IntN(2) == 0 {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
		}
		clients.Wait()
		s.awaitReleased(t)
		for deadline := time.Now().Add(connTestLimit); s.conns.Count() > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
		if held := s.conns.memory.Used(memory.Connections); held != 0 {
			t.Errorf("%d bytes are held for connections that have ended", held)
		}
	})
}

// Guards against a cost of heads below the memory that they hold while their requests are served: as parsed by net/http, as
// copied to forward them, and as sent.
func TestHeadCostCoversWhatIsHeld(t *testing.T) {
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	const start = "GET /x HTTP/1.1\r\nHost: h\r\n"
	for _, size := range []int{512, 2 << 10, 16 << 10, 64 << 10} {
		for name, head := range map[string]string{
			"short lines": testRequest.ShortLines(size, ""),
			"odd lines":   testRequest.OddLines(size, ""),
			"one name":    start + strings.Repeat("a:\n", size/3),
			"line feeds":  strings.ReplaceAll(testRequest.ShortLines(size, ""), "\r\n", "\n"),
			"one line":    start + "a: " + strings.Repeat("x", size) + "\r\n",
			"long lines":  start + strings.Repeat("a: "+strings.Repeat("x", 200)+"\r\n", size/200),
		} {
			const requests = 50
			held := make([]any, 0, 3*requests)
			before := heap()
			for range requests {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\r\n")))
				if err != nil {
					t.Fatal(err)
				}
				forwarded := port.EndToEnd(r.Header)
				var sent bytes.Buffer
				if err := forwarded.Write(&sent); err != nil {
					t.Fatal(err)
				}
				held = append(held, r, forwarded, sent.Bytes())
			}
			// The read buffer belongs to the connection.
			each := (heap()-before)/requests - memory.ReadAheadBytes
			if cost := memory.HeadCost(int64(len(head)), int64(strings.Count(head, "\n"))); each > cost {
				t.Errorf("a head of %d bytes, %s, holds %d bytes and costs %d", size, name, each, cost)
			}
			runtime.KeepAlive(held)
		}
	}
}

// ordinaryHead is a request head like those of ordinary clients.
var ordinaryHead = func() string {
	head := "POST /v1/chat HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n"
	for i := range 14 {
		head += fmt.Sprintf("X-Header-%d: a value of an ordinary size %d\r\n", i, i)
	}
	return head + "\r\n"
}()

// Measures what an ordinary request pays for the count of its head.
func BenchmarkOrdinaryHead(b *testing.B) {
	raw, _ := net.Pipe()
	s := New(memory.NewBudget(64<<20), func(http.ResponseWriter, int) { b.Error("refused") })
	c := s.add(raw).(*clientConn)
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(ordinaryHead)))
	if err != nil {
		b.Fatal(err)
	}
	request = request.WithContext(withConn(b.Context(), c))
	handler, w, head := s.chargeHeads(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})), httptest.NewRecorder(), []byte(ordinaryHead)
	b.ReportAllocs()
	for b.Loop() {
		c.receive(head)
		handler.ServeHTTP(w, request)
		c.awaitRequest()
	}
}

// Guards against clients whose bodies never end and that occupy all connections for good; and against closing connections whose
// requests were read, or still make progress.
func TestStalledBodyGivesWayToNewConnection(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	var s *connServer
	s = newLimitedServer(t, 64<<20, func(w http.ResponseWriter, r *http.Request) {
		held := RequestMemory(s.conns.memory, w, r)
		held.Grow(time.Now(), memory.Bodies, 1<<10)
		if r.URL.Path == "/served" {
			held.Finish()
			entered <- struct{}{}
			<-release
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !held.Finish() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	s.conns.SetLimit(2)
	served, servedReader := s.dial(t)
	write(t, served, strings.Replace(wholeRequest, "/x", "/served", 1))
	<-entered
	stalled, stalledReader := s.dial(t)
	write(t, stalled, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	// The new connection is refused until the body has stalled.
	for deadline := time.Now().Add(connTestLimit); ; time.Sleep(50 * time.Millisecond) {
		c, r := s.dial(t)
		write(t, c, wholeRequest)
		if response, err := http.ReadResponse(r, nil); err == nil && response.StatusCode == http.StatusNoContent {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a new connection is not served beside a stalled body")
		}
	}
	if _, err := stalledReader.ReadByte(); err == nil {
		t.Error("the stalled request was answered")
	}
	close(release)
	wantAnswer(t, servedReader)
}
