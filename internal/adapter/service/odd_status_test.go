package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/service"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against heads that are no answer and reach the caller as one.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 ", "HTTP/1.1 +20 OK", "HTTP/1.1 600 ", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK"} {
		t.Run(line, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, line+"\r\nContent-Length: 4\r\n\r\nbody")
				}
			}()
			response, err := service.NewDialer(network.TCP{})(l.Addr().String()).Call(t.Context(), port.ServiceRequest{Method: http.MethodPost, Path: "/confirm"})
			if err == nil {
				t.Errorf("the caller gets %+v as an answer", response)
			}
		})
	}
}
