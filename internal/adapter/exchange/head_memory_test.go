package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/port"
)

// serveText answers each request with a text, without ending the connection.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against servers in trouble that fill the memory of a daemon with heads of very many short lines, finished or not;
// against taking ordinary responses for them; and against memory that is not returned.
func TestResponseHeadsOfManyLinesAreCharged(t *testing.T) {
	const lines = 5000
	many := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("a:\n", lines)
	client := exchange.NewClient(network.TCP{}, time.Second)
	budget := memory.NewBudget(4 * memory.HeadCost(3*lines, lines))
	client.SetBudget(budget)
	request := exchange.Request{Method: http.MethodGet, Host: "h", Target: "/", MaxIdle: time.Minute}
	get := func(address string, timeout time.Duration) (*exchange.Response, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		t.Cleanup(cancel)
		return client.Do(ctx, address, request)
	}
	whole, unfinished := serveText(t, many+"\r\nok"), serveText(t, many)
	ordinary := serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"+strings.Repeat("\n", 200))
	first, err := get(whole, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if held := budget.Used(memory.Responses); held < memory.HeadCost(0, lines) {
		t.Errorf("a head of %d lines counts with %d bytes", lines, held)
	}
	for _, address := range []string{whole, unfinished} {
		if _, err := get(address, time.Minute); !errors.Is(err, port.ErrResponseMemory) {
			t.Errorf("a second head was read, error %v", err)
		}
	}
	for range 2 {
		response, err := get(ordinary, time.Minute)
		if err != nil {
			t.Fatalf("an ordinary response was not read: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Error(err)
		}
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Error(err)
	}
	if _, err := get(unfinished, 200*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("an unfinished head was taken for a response, error %v", err)
	}
	if second, err := get(whole, time.Minute); err != nil {
		t.Errorf("the memory of earlier heads was not returned: %v", err)
	} else {
		_ = second.Body.Close()
	}
	if held := budget.Used(memory.Responses); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}
