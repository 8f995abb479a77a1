package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against an order that reaches another incarnation of the engine than the one it
// names: one that is already running, or one that starts between the check and the
// order. Also guards against a refusal that is reported as an unknown outcome.
func TestOrderReachesOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemNet()
		defer network.CloseAll()
		const address = "10.1.0.1:7100"
		listener, err := network.Host("engine").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		var orders, closeConns atomic.Int64
		status := http.StatusOK
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+engine.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
			if closeConns.Load() > 0 {
				w.Header().Set("Connection", "close")
			}
			_ = json.NewEncoder(w).Encode(port.EngineStatus{Incarnation: "second"})
		})
		mux.HandleFunc("POST "+engine.OrdersPath, func(w http.ResponseWriter, _ *http.Request) {
			orders.Add(1)
			w.WriteHeader(status)
		})
		server := &http.Server{Handler: mux}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		client := engine.NewDialer(engine.Options{Network: network.Host("daemon"), ProgressTimeout: time.Second}).Dial(address)
		send := func(incarnation string) error {
			return client.Order(context.Background(), port.Order{ID: "o1", Incarnation: incarnation})
		}
		if err := send("second"); err != nil || orders.Load() != 1 {
			t.Errorf("order to the running incarnation: error %v, %d orders received", err, orders.Load())
		}
		if err := send("first"); !errors.Is(err, port.ErrNotSent) || orders.Load() != 1 {
			t.Errorf("order to an earlier incarnation: error %v, %d orders received", err, orders.Load())
		}
		status = http.StatusUnprocessableEntity
		if err := send("second"); !errors.Is(err, port.ErrNotRun) {
			t.Errorf("refused order: error %v, want %v", err, port.ErrNotRun)
		}
		orders.Store(0)
		closeConns.Store(1)
		if err := send("second"); !errors.Is(err, port.ErrNotSent) || orders.Load() != 0 {
			t.Errorf("order after its connection was closed: error %v, %d orders received", err, orders.Load())
		}
	})
}
