package deployment

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
)

const stopTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
lookups,service,guide,1,,,,,100,1m,,,,at_once,
`

const lookupBody = `{"model":"lookups","prompt":"what is open in Patan","max_tokens":8}`

// TestStopDoesNotCutOffUnreadResponse checks that stopping an entry does not cut off a response
// whose handler has returned but which the caller has not read yet.
func TestStopDoesNotCutOffUnreadResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := NewMemory()
		defer fabric.Close()
		d, err := Start(t.Context(), Options{
			Fabric: fabric, Table: stopTable, Log: observe.Discard(), Seed: 1,
			Engines: []EngineSpec{{Zone: "patan", Options: engine.Options{
				ID: "engine-1", Models: map[string]uint64{"guide": 1},
			}}},
			Entries: []EntrySpec{{Zone: "patan", ID: "entry-1"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		if err := d.AwaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		conn, err := fabric.dial(t.Context(), "tcp", "entry-1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry-1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(lookupBody), lookupBody)
		time.Sleep(time.Second) // the handler has returned and its response waits in the pipe
		stopped := make(chan error, 1)
		go func() { stopped <- d.Entries[0].Stop(t.Context()) }()
		time.Sleep(time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("the stop cut off the response: %v", err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got %s, %v", resp.Status, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
