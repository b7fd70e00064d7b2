package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedRow is one row of the platform's store.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// content is all that a restored copy brings back.
type content struct {
	rows map[rowID]storedRow
	log  []storedRow
	ver  uint64
}

func (ctn content) clone() content {
	cp := content{rows: make(map[rowID]storedRow, len(ctn.rows)), log: slices.Clone(ctn.log), ver: ctn.ver}
	for id, rw := range ctn.rows {
		cp.rows[id] = rw
	}
	return cp
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	content content
	era     uint64
	changed chan struct{}
	started time.Time
	// refuses makes calls of the system fail with 503. While the store is down, entries of
	// engines are not written either.
	refuses, down bool
	// silentBefore makes all channels silent that were opened before it.
	silentBefore time.Time
	// onFeed is called after a response of rows-feed has been written. pending counts the
	// calls of rows-feed that wait, by table.
	onFeed  func(table string)
	pending map[string]int
	srv     *http.Server
	addr    string
}

// connOpened is the key of the time at which a request's channel was opened.
type connOpened struct{}

func newStore() (*store, error) {
	str := &store{content: content{rows: make(map[rowID]storedRow)}, era: 1, changed: make(chan struct{}), started: time.Now(), pending: make(map[string]int)}
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	str.addr = lis.Addr().String()
	str.srv = &http.Server{Handler: http.HandlerFunc(str.serve), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connOpened{}, time.Now())
	}}
	go func() { _ = str.srv.Serve(lis) }()
	return str, nil
}

func (str *store) nowMs() int64 { return time.Since(str.started).Milliseconds() + 1000 }

// put writes a row as the operator or an engine does.
func (str *store) put(table, key string, val any) uint64 {
	data, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	str.mu.Lock()
	defer str.mu.Unlock()
	if str.down {
		return 0
	}
	return str.apply(storedRow{Table: table, Key: key, Value: data})
}

// remove drops a row as an engine does.
func (str *store) remove(table, key string) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if _, ok := str.content.rows[rowID{table, "", key}]; ok && !str.down {
		str.apply(storedRow{Table: table, Key: key, Deleted: true})
	}
}

func (str *store) apply(rws ...storedRow) uint64 {
	str.content.ver++
	for _, rw := range rws {
		rw.Ver = str.content.ver
		id := rowID{rw.Table, rw.Part, rw.Key}
		if rw.Deleted {
			delete(str.content.rows, id)
		} else {
			str.content.rows[id] = rw
		}
		str.content.log = append(str.content.log, rw)
	}
	close(str.changed)
	str.changed = make(chan struct{})
	return str.content.ver
}

func (str *store) snapshot() content {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.content.clone()
}

// restore brings back a copy. Versions since it are gone, and are given out again.
func (str *store) restore(ctn content) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.content = ctn.clone()
	str.era++
}

// setDown makes all calls fail with 503.
func (str *store) setDown(down bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.refuses, str.down = down, down
	close(str.changed)
	str.changed = make(chan struct{})
}

func (str *store) setRefuses(refuses bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.refuses = refuses
}

// silence makes the open channels silent; new ones work.
func (str *store) silence() {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.silentBefore = time.Now()
}

func (str *store) isSilent(req *http.Request) bool {
	opened, _ := req.Context().Value(connOpened{}).(time.Time)
	str.mu.Lock()
	defer str.mu.Unlock()
	return opened.Before(str.silentBefore)
}

// waiting reports whether a call of rows-feed waits for changes of a table.
func (str *store) waiting(table string) bool {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.pending[table] > 0
}

type storeAnswer struct {
	status int
	body   any
	era    uint64
}

func (str *store) serve(wrt http.ResponseWriter, req *http.Request) {
	if str.isSilent(req) {
		<-req.Context().Done()
		return
	}
	ans := str.answer(req)
	if str.isSilent(req) {
		<-req.Context().Done()
		return
	}
	data, err := json.Marshal(ans.body)
	if err != nil {
		panic(err)
	}
	wrt.Header().Set("Content-Type", "application/json")
	wrt.Header().Set("Store-Era", strconv.FormatUint(ans.era, 10))
	wrt.Header().Set("Content-Length", strconv.Itoa(len(data)))
	wrt.WriteHeader(ans.status)
	_, _ = wrt.Write(data)
	if req.URL.Path == "/rows-feed" && str.onFeed != nil && ans.status == http.StatusOK {
		_ = http.NewResponseController(wrt).Flush()
		str.onFeed(req.URL.Query().Get("table"))
	}
}

func (str *store) answer(req *http.Request) storeAnswer {
	str.mu.Lock()
	defer str.mu.Unlock()
	if str.refuses {
		return storeAnswer{http.StatusServiceUnavailable, map[string]any{}, str.era}
	}
	switch req.Method + " " + req.URL.Path {
	case "GET /rows-get":
		return str.get(req)
	case "GET /rows-feed":
		return str.feed(req)
	case "POST /rows-tx":
		return str.transact(req)
	default:
		return storeAnswer{http.StatusNotFound, map[string]any{}, str.era}
	}
}

func (str *store) page(rows []storedRow, truncated bool) storeAnswer {
	if rows == nil {
		rows = []storedRow{}
	}
	return storeAnswer{http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": str.content.ver, "nowMs": str.nowMs()}, str.era}
}

func (str *store) get(req *http.Request) storeAnswer {
	qry := req.URL.Query()
	limit, err := strconv.Atoi(qry.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	var rows []storedRow
	for id, rw := range str.content.rows {
		if id.table == qry.Get("table") && id.part == qry.Get("part") && id.key >= qry.Get("from") && (qry.Get("to") == "" || id.key < qry.Get("to")) {
			rows = append(rows, rw)
		}
	}
	slices.SortFunc(rows, func(ra, rb storedRow) int { return strings.Compare(ra.Key, rb.Key) })
	truncated := len(rows) > limit
	return str.page(rows[:min(len(rows), limit)], truncated)
}

func (str *store) feed(req *http.Request) storeAnswer {
	qry := req.URL.Query()
	after, _ := strconv.ParseUint(qry.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(qry.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	era := str.era
	str.pending[qry.Get("table")]++
	defer func() { str.pending[qry.Get("table")]-- }()
	for {
		if str.refuses {
			return storeAnswer{http.StatusServiceUnavailable, map[string]any{}, str.era}
		}
		if after > str.content.ver || era != str.era {
			return storeAnswer{http.StatusGone, map[string]any{}, str.era}
		}
		var rows []storedRow
		for _, rw := range str.content.log {
			if rw.Ver > after && rw.Table == qry.Get("table") {
				rows = append(rows, rw)
			}
		}
		if len(rows) > 0 {
			return str.page(rows, false)
		}
		changed := str.changed
		str.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-end:
			over = true
		case <-req.Context().Done():
			over = true
		}
		str.mu.Lock()
		if over {
			return str.page(nil, false)
		}
	}
}

func (str *store) transact(req *http.Request) storeAnswer {
	var trx struct {
		ExpectedRev, Writes, Remove []storedRow
	}
	if err := json.NewDecoder(req.Body).Decode(&trx); err != nil {
		return storeAnswer{http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)}, str.era}
	}
	var current []storedRow
	met := true
	for _, rw := range trx.ExpectedRev {
		now, ok := str.content.rows[rowID{rw.Table, rw.Part, rw.Key}]
		if ok {
			current = append(current, now)
		}
		met = met && now.Ver == rw.Ver
	}
	if !met {
		return storeAnswer{http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": str.content.ver, "nowMs": str.nowMs()}, str.era}
	}
	for ix := range trx.Remove {
		trx.Remove[ix].Deleted = true
	}
	for _, rw := range append(slices.Clone(trx.Writes), trx.Remove...) {
		if rw.Table == "op" || rw.Table == "servers" {
			return storeAnswer{http.StatusForbidden, map[string]any{}, str.era}
		}
	}
	str.apply(append(trx.Writes, trx.Remove...)...)
	return storeAnswer{http.StatusOK, map[string]any{"ver": str.content.ver, "nowMs": str.nowMs()}, str.era}
}
