package engine_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a status read or an order that fails because an idle connection
// has gone silent.
func TestControlRecoversFromSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemNet()
		defer network.CloseAll()
		const address = "10.1.0.1:7100"
		listener, err := network.Host("engine").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: standin.NewEngine(standin.EngineOptions{Name: "engine"}).Handler()}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		client := engine.NewDialer(engine.Options{
			Network:         network.Host("daemon"),
			ProgressTimeout: 5 * time.Second,
			IdleConnTimeout: time.Minute,
		}).Dial(address)
		ctx := context.Background()
		calls := map[string]func() error{
			"status":       func() error { _, err := client.Status(ctx); return err },
			"cancel":       func() error { return client.Cancel(ctx, "unknown") },
			"order":        func() error { return client.Order(ctx, port.Order{ID: "o1", Kind: port.OrderRaiseFencing}) },
			"cache events": func() error { _, err := client.CacheEvents(ctx, 0); return err },
		}
		for name, call := range calls {
			if _, err := client.Status(ctx); err != nil {
				t.Fatal(err)
			}
			network.Blackhole("daemon", "engine")
			if err := call(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
}
