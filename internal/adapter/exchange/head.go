package exchange

import (
	"fmt"
	"net/http"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Status codes that final responses may have (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckHead returns port.ErrInvalidResponse if a response that net/http has parsed is no final response of HTTP/1: its
// version or status code is not one, or it changes the protocol, for which nobody asked. net/http accepts any status code
// of three characters that is not negative.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", port.ErrInvalidResponse, r.Proto)
	}
	if r.StatusCode < minFinalStatus || r.StatusCode > maxFinalStatus {
		return fmt.Errorf("%w: status %.3q", port.ErrInvalidResponse, r.Status)
	}
	return nil
}

// isInterim reports whether a response precedes the final one.
func isInterim(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.StatusCode >= http.StatusContinue && r.StatusCode < minFinalStatus && r.StatusCode != http.StatusSwitchingProtocols
}
