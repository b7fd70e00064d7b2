package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: rows, transactions and the feed of
// changes, as PROTOCOL.md describes them.
type store struct {
	rec   *recorder
	start time.Time
	lis   net.Listener

	mu      sync.Mutex
	changed chan struct{}
	ver     uint64
	rows    map[rowKey]storedRow
	history []feedRow
	// isDown makes the store reset every connection on which a call comes.
	isDown bool
	// loses reports whether the answer to a write is lost; the write is then done after
	// lateBy. It may be nil.
	loses  func(row wireRow) bool
	lateBy time.Duration
	// writes and lost count the writes of the system and the engines.
	writes, lost int
}

type rowKey struct{ table, key string }

type storedRow struct {
	value []byte
	ver   uint64
}

type feedRow struct {
	table string
	row   wireRow
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore(rec *recorder) (*store, error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto := &store{rec: rec, start: time.Now(), lis: lis, changed: make(chan struct{}), rows: make(map[rowKey]storedRow)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", sto.get)
	mux.HandleFunc("GET /rows-feed", sto.feed)
	mux.HandleFunc("POST /rows-tx", sto.transact)
	go func() { _ = (&http.Server{Handler: sto.available(mux)}).Serve(lis) }()
	return sto, nil
}

func (sto *store) address() string { return sto.lis.Addr().String() }

// available passes calls on unless the store is silent.
func (sto *store) available(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if sto.down() {
			reset(wrt)
			return
		}
		time.Sleep(4 * time.Millisecond)
		next.ServeHTTP(wrt, req)
	})
}

func (sto *store) down() bool {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.isDown
}

// setDown begins or ends an outage. Calls that wait are reset as well.
func (sto *store) setDown(isDown bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.isDown = isDown
	close(sto.changed)
	sto.changed = make(chan struct{})
	sto.rec.printf("store down=%v", isDown)
}

// reset resets the connection of a call.
func reset(wrt http.ResponseWriter) {
	conn, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// put writes a row as the operator, an engine or another writer does. It reports whether
// the store is reachable.
func (sto *store) put(table, key string, value []byte) bool {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.writes++
	if sto.isDown {
		return false
	}
	sto.write(table, key, value)
	return true
}

func (sto *store) write(table, key string, value []byte) {
	sto.ver++
	sto.rows[rowKey{table, key}] = storedRow{value, sto.ver}
	sto.append(table, wireRow{Table: table, Key: key, Value: value, Ver: sto.ver})
}

func (sto *store) remove(table, key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if _, ok := sto.rows[rowKey{table, key}]; !ok {
		return
	}
	sto.ver++
	delete(sto.rows, rowKey{table, key})
	sto.append(table, wireRow{Table: table, Key: key, Ver: sto.ver, Deleted: true})
}

func (sto *store) append(table string, row wireRow) {
	sto.history = append(sto.history, feedRow{table, row})
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) nowMs() int64 { return time.Since(sto.start).Milliseconds() + 10_000 }

func (sto *store) get(wrt http.ResponseWriter, req *http.Request) {
	table, from := req.FormValue("table"), req.FormValue("from")
	sto.mu.Lock()
	rows := []wireRow{}
	for key, row := range sto.rows {
		if key.table == table && key.key >= from {
			rows = append(rows, wireRow{Table: table, Key: key.key, Value: row.value, Ver: row.ver})
		}
	}
	ver := sto.ver
	sto.mu.Unlock()
	sort.Slice(rows, func(ia, ib int) bool { return rows[ia].Key < rows[ib].Key })
	sto.answer(wrt, map[string]any{"rows": rows, "truncated": false, "ver": ver, "nowMs": sto.nowMs()})
}

func (sto *store) feed(wrt http.ResponseWriter, req *http.Request) {
	table := req.FormValue("table")
	after, _ := strconv.ParseUint(req.FormValue("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(req.FormValue("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		sto.mu.Lock()
		rows := []wireRow{}
		for _, fdr := range sto.history {
			if fdr.table == table && fdr.row.Ver > after {
				rows = append(rows, fdr.row)
			}
		}
		ver, changed, isDown := sto.ver, sto.changed, sto.isDown
		sto.mu.Unlock()
		if isDown {
			reset(wrt)
			return
		}
		if len(rows) == 0 && waitMs > 0 {
			select {
			case <-changed:
				continue
			case <-req.Context().Done():
				return
			case <-end:
				waitMs = 0
				continue
			}
		}
		sto.answer(wrt, map[string]any{"rows": rows, "ver": ver, "nowMs": sto.nowMs()})
		return
	}
}

func (sto *store) transact(wrt http.ResponseWriter, req *http.Request) {
	var body struct {
		ExpectedRev []wireRow `json:"expectedRev"`
		Writes      []wireRow `json:"writes"`
		Remove      []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(wrt, err.Error(), http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	sto.writes++
	if sto.loses != nil && len(body.Writes) == 1 && sto.loses(body.Writes[0]) {
		sto.lost++
		lateBy := sto.lateBy
		sto.mu.Unlock()
		sto.rec.printf("store loses the answer to the write of %s/%s: %s", body.Writes[0].Table, body.Writes[0].Key, body.Writes[0].Value)
		time.AfterFunc(lateBy, func() {
			sto.rec.printf("store does the write of %s/%s, %v late", body.Writes[0].Table, body.Writes[0].Key, lateBy)
			sto.put(body.Writes[0].Table, body.Writes[0].Key, body.Writes[0].Value)
		})
		<-req.Context().Done()
		return
	}
	for _, row := range body.ExpectedRev {
		if sto.rows[rowKey{row.Table, row.Key}].ver != row.Ver {
			sto.mu.Unlock()
			wrt.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, row := range body.Writes {
		if row.Table == "op" || row.Table == "servers" {
			sto.mu.Unlock()
			wrt.WriteHeader(http.StatusForbidden)
			return
		}
		sto.rec.printf("store writes %s/%s: %s", row.Table, row.Key, row.Value)
		sto.write(row.Table, row.Key, row.Value)
	}
	ver := sto.ver
	sto.mu.Unlock()
	for _, row := range body.Remove {
		sto.remove(row.Table, row.Key)
	}
	sto.answer(wrt, map[string]any{"ver": ver, "nowMs": sto.nowMs()})
}

func (sto *store) answer(wrt http.ResponseWriter, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(body)
}
