package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the soak's engines.
const (
	soakSlots     = 6
	soakEventTime = 15 * time.Millisecond
	soakLoadTime  = 300 * time.Millisecond
	soakHeartbeat = 400 * time.Millisecond
	soakDrain     = 2 * time.Second // how long a draining engine serves on
)

// soakEngine is an engine of the soak: it speaks the platform's protocol and
// records what it was asked to do.
type soakEngine struct {
	service, zone string
	listen, addr  string // where it listens, and what it tells the store
	models        []string
	registry      *registry
	record        *record
	faulty        sync.Mutex // held by the one fault that ends and starts it

	mu       sync.Mutex
	starts   int
	id       string
	server   *http.Server
	draining bool
	versions map[string]uint64
	loading  map[string]bool
	busy     bool
	sequence uint64
	running  int
	stop     chan struct{}
	beats    int
}

// start starts an incarnation.
func (e *soakEngine) start() error {
	l, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.listen, ".", "-"), e.starts)
	e.id = strings.ReplaceAll(e.id, ":", "-")
	e.draining, e.busy, e.sequence, e.running = false, false, 0, 0
	e.loading = map[string]bool{}
	if e.versions == nil {
		e.versions = map[string]uint64{}
		for _, m := range e.models {
			e.versions[m] = 1
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.request)
	e.server = &http.Server{Handler: mux}
	e.stop = make(chan struct{})
	go e.server.Serve(l) // ends with the server
	go e.beat(e.id, e.stop)
	return nil
}

// crash ends an incarnation at once; its entry lapses by itself.
func (e *soakEngine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.id = "" // runs under way notice that they have ended
	e.mu.Unlock()
	server.Close()
	close(stop)
}

// leave drains and ends an incarnation as planned.
func (e *soakEngine) leave() {
	e.mu.Lock()
	e.draining = true
	server, stop, id := e.server, e.stop, e.id
	e.mu.Unlock()
	e.register(id)
	time.Sleep(soakDrain + soakDrain/2)
	close(stop)
	e.registry.remove(id)
	e.mu.Lock()
	e.id = ""
	e.mu.Unlock()
	server.Close()
}

func (e *soakEngine) beat(id string, stop chan struct{}) {
	for {
		e.register(id)
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
	}
}

// register writes the engine's entry.
func (e *soakEngine) register(id string) {
	e.mu.Lock()
	if e.id != id {
		e.mu.Unlock()
		return
	}
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value := marshal(map[string]any{
		"Service": e.service, "Address": e.addr, "Zone": e.zone, "Version": "1", "Slots": soakSlots,
		"State": state, "ColdLeftMs": 0, "Sequence": e.beats, "Models": e.modelList(),
	})
	e.mu.Unlock()
	e.registry.beat(id, value)
}

// modelList is called with e.mu held.
func (e *soakEngine) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"Name": m, "Version": e.versions[m], "Adapters": []string{}})
	}
	return list
}

func (e *soakEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := map[string]any{
		"Stage": "both", "Models": e.modelList(), "Busy": e.busy, "Sequence": e.sequence,
		"NumWaiting": 0, "NumRunning": e.running, "KvUsed": 0, "KvTotal": 1 << 20, "Handles": 0,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(marshal(answer))
}

// order changes the weights of a model.
func (e *soakEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model, Mode, Holder   string
		Version, FencingToken uint64
		Expected              *uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.ordered(e.listen, o.Holder, o.FencingToken)
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.versions[o.Model] == o.Version:
	case e.versions[o.Model] == 0 || e.record.named(o.Model) < o.Version:
		w.WriteHeader(http.StatusBadRequest)
	case e.busy || (o.Expected != nil && *o.Expected != e.sequence):
		w.WriteHeader(http.StatusConflict)
	default:
		e.busy, e.loading[o.Model] = true, true
		e.sequence++
		go e.load(e.id, o.Model, o.Version)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *soakEngine) load(id, model string, version uint64) {
	time.Sleep(soakLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == id {
		e.busy, e.loading[model], e.versions[model] = false, false, version
	}
}

// admit takes a request in, or says which refusal it gets.
func (e *soakEngine) admit(r *http.Request) (id string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := r.Header.Get("X-Model")
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case e.id == "" || (expected != "" && expected != e.id):
		return "", http.StatusMisdirectedRequest
	case e.running >= soakSlots || e.loading[model]:
		return "", http.StatusServiceUnavailable
	}
	e.running++
	return e.id, 0
}

// version is the weights that make the next event; ok is false once the
// incarnation has ended.
func (e *soakEngine) version(id, model string) (version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model], e.id == id
}

// request runs any request but reports and orders.
func (e *soakEngine) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, status := e.admit(r)
	if status != 0 {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.id == id {
			e.running--
		}
	}()
	request := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent is 0
	e.record.began(e.service, request, r.Method, r.RequestURI, string(body), r.Header.Get("X-Model"), last)
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("X-Server-Stamp", stampOf(id, request))
	switch status := e.failure(request); {
	case status != 0:
		w.WriteHeader(status)
	case strings.Contains(r.URL.Path, "/look/") || strings.Contains(r.URL.Path, "/book/"):
		sleep(r.Context(), workOf(request))
		if losesAnswer(request) {
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte(answerOf(request, string(body))))
	default:
		e.stream(r.Context(), w, id, request, r.Header.Get("X-Model"), last)
	}
}

// failure is the status with which an item fails, 0 if it succeeds now.
func (e *soakEngine) failure(request string) int {
	switch kindOf(request) {
	case itemImpossible:
		return http.StatusUnprocessableEntity
	case itemFailing:
		return http.StatusInternalServerError
	case itemFailsOnce:
		if e.record.failOnce(request) {
			return http.StatusInternalServerError
		}
	}
	return 0
}

// stream makes the events of a text after the last that is known.
func (e *soakEngine) stream(ctx context.Context, w http.ResponseWriter, id, request, model string, last int) {
	told := uint64(0)
	flush := http.NewResponseController(w)
	for n := last + 1; n <= eventsOf(request); n++ {
		if !sleep(ctx, soakEventTime) {
			return
		}
		version, ok := e.version(id, model)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		e.record.madeEvent(request, n, version)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventOf(request, n))
		switch {
		case told == 0:
			w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
		case told != version:
			text = fmt.Sprintf("x-weight-versions: %d\n%s", version, text)
		}
		told = version
		io.WriteString(w, text)
		flush.Flush()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Kinds of items, by a hash of their ids.
const (
	itemWhole = iota
	itemImpossible
	itemFailing
	itemFailsOnce
)

func hashOf(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64()
}

func kindOf(id string) int {
	if !strings.HasPrefix(id, "item-") {
		return itemWhole
	}
	switch hashOf(id) % 30 {
	case 0:
		return itemImpossible
	case 1:
		return itemFailing
	case 2, 3:
		return itemFailsOnce
	}
	return itemWhole
}

// workOf is how long a request that is no stream takes.
func workOf(id string) time.Duration { return time.Duration(5+hashOf(id)%200) * time.Millisecond }

// losesAnswer says whether the engine breaks off once it has run a request.
func losesAnswer(id string) bool { return hashOf(id)%40 == 7 }

// eventsOf is how many events a text has, eventOf one of them.
func eventsOf(id string) int { return 8 + int(hashOf(id)%25) }
func eventOf(id string, n int) string {
	return fmt.Sprintf("%s.%d.%x", id, n, hashOf(id+strconv.Itoa(n))%0xffff)
}

// textOf is a whole text as a result holds it.
func textOf(id string) string {
	var events []string
	for n := 1; n <= eventsOf(id); n++ {
		events = append(events, eventOf(id, n))
	}
	return strings.Join(events, "\n")
}

func answerOf(request, body string) string { return "answer to " + request + " about " + body }
func stampOf(instance, request string) string {
	return fmt.Sprintf("%s/%x", instance, hashOf(instance+request))
}

// marshal encodes what always can be encoded.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
