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

// Guards against an order that reaches another incarnation of the engine than the
// one it was announced for: one that runs already, or one that starts between the
// check and the order. Also guards against a refusal that is taken for a lost answer.
func TestOrderReachesOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemNet()
		defer network.CloseAll()
		const address = "10.1.0.1:7100"
		listener, err := network.Host("engine").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		var orders, closing atomic.Int64
		answer := http.StatusOK
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+engine.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
			if closing.Load() > 0 {
				w.Header().Set("Connection", "close")
			}
			_ = json.NewEncoder(w).Encode(port.EngineStatus{Incarnation: "second"})
		})
		mux.HandleFunc("POST "+engine.OrdersPath, func(w http.ResponseWriter, _ *http.Request) {
			orders.Add(1)
			w.WriteHeader(answer)
		})
		server := &http.Server{Handler: mux}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		client := engine.NewDialer(engine.Options{Network: network.Host("daemon"), ProgressTimeout: time.Second}).Dial(address)
		send := func(incarnation string) error {
			return client.Order(context.Background(), port.Order{ID: "o1", Incarnation: incarnation})
		}
		if err := send("second"); err != nil || orders.Load() != 1 {
			t.Errorf("an order to the running incarnation: %v, %d arrived", err, orders.Load())
		}
		if err := send("first"); !errors.Is(err, port.ErrNotSent) || orders.Load() != 1 {
			t.Errorf("an order to an earlier incarnation: %v, %d arrived", err, orders.Load())
		}
		answer = http.StatusUnprocessableEntity
		if err := send("second"); !errors.Is(err, port.ErrNotRun) {
			t.Errorf("a refused order: %v, want %v", err, port.ErrNotRun)
		}
		orders.Store(0)
		closing.Store(1)
		if err := send("second"); !errors.Is(err, port.ErrNotSent) || orders.Load() != 0 {
			t.Errorf("an order after its connection closed: %v, %d arrived", err, orders.Load())
		}
	})
}
