package bwfakestore

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// tableService implements the part of the DynamoDB JSON protocol that the client uses.
type tableService struct {
	injector  faultInjector
	pageBytes int
	mu        sync.Mutex
	// rows maps a partition and a sort key to a row.
	rows map[string]map[string]storedRow
}

// storedRow maps a column to its typed value, such as {"S": "text"}.
type storedRow map[string]map[string]string

const (
	targetPrefix    = "DynamoDB_20120810."
	errorPrefix     = "com.amazonaws.dynamodb.v20120810#"
	tableMediaType  = "application/x-amz-json-1.0"
	partitionColumn = "Partition"
	sortColumn      = "Sort"
	maxRowBytes     = 400 << 10
	maxWrites       = 100
)

type keyRequest struct{ Key storedRow }

type queryRequest struct {
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues storedRow
	ExclusiveStartKey         storedRow
}

type queryResponse struct {
	Items            []storedRow
	Count            int
	LastEvaluatedKey storedRow `json:",omitempty"`
}

type writeRequest struct {
	TransactItems []struct {
		Put    *writeItem
		Delete *writeItem
	}
}

type writeItem struct {
	Key                       storedRow
	Item                      storedRow
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues storedRow
}

type cancellationReason struct{ Code string }

type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

// ServeHTTP handles one GetItem, Query or TransactWriteItems request.
func (ts *tableService) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	proceed, throttled := ts.injector.beginRequest(rsp, req)
	if throttled {
		writeTableError(rsp, "ThrottlingException", "rate of requests exceeded", nil)
	}
	if !proceed {
		return
	}
	switch strings.TrimPrefix(req.Header.Get("X-Amz-Target"), targetPrefix) {
	case "GetItem":
		ts.get(rsp, req)
	case "Query":
		ts.query(rsp, req)
	case "TransactWriteItems":
		ts.write(rsp, req)
	default:
		writeTableError(rsp, "UnknownOperationException", req.Header.Get("X-Amz-Target"), nil)
	}
}

func (ts *tableService) get(rsp http.ResponseWriter, req *http.Request) {
	var in keyRequest
	if !decodeRequest(rsp, req, &in) {
		return
	}
	ts.injector.countRead()
	ts.mu.Lock()
	row, ok := ts.rows[in.Key.partition()][in.Key.sortKey()]
	ts.mu.Unlock()
	out := struct {
		Item storedRow `json:",omitempty"`
	}{}
	if ok {
		out.Item = row
	}
	writeResponse(rsp, http.StatusOK, out)
}

func (ts *tableService) query(rsp http.ResponseWriter, req *http.Request) {
	var in queryRequest
	if !decodeRequest(rsp, req, &in) {
		return
	}
	ts.injector.countRead()
	partition, after := in.ExpressionAttributeValues[":p"]["S"], ""
	switch in.KeyConditionExpression {
	case "#p = :p":
	case "#p = :p AND #s > :s":
		after = in.ExpressionAttributeValues[":s"]["S"]
	default:
		writeTableError(rsp, "ValidationException", "key condition is not supported: "+in.KeyConditionExpression, nil)
		return
	}
	if start := in.ExclusiveStartKey; start != nil {
		after = start.sortKey()
	}
	writeResponse(rsp, http.StatusOK, ts.page(partition, after))
}

func (ts *tableService) page(partition, after string) queryResponse {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	out := queryResponse{Items: []storedRow{}}
	size := 0
	rows := ts.rows[partition]
	for _, sort := range slices.Sorted(maps.Keys(rows)) {
		if sort <= after {
			continue
		}
		if size >= ts.pageBytes {
			last := out.Items[len(out.Items)-1]
			out.LastEvaluatedKey = storedRow{partitionColumn: last[partitionColumn], sortColumn: last[sortColumn]}
			break
		}
		out.Items = append(out.Items, rows[sort])
		size += rows[sort].size()
	}
	out.Count = len(out.Items)
	return out
}

func (ts *tableService) write(rsp http.ResponseWriter, req *http.Request) {
	var in writeRequest
	if !decodeRequest(rsp, req, &in) {
		return
	}
	if msg := in.validationMessage(); msg != "" {
		writeTableError(rsp, "ValidationException", msg, nil)
		return
	}
	var reasons []cancellationReason
	ts.injector.runWrite(req, func() bool {
		reasons = ts.apply(in)
		return reasons == nil
	})
	if reasons != nil {
		writeTableError(rsp, "TransactionCanceledException", "transaction canceled", reasons)
		return
	}
	writeResponse(rsp, http.StatusOK, struct{}{})
}

// apply writes all rows. If a condition fails, it writes none and returns one
// reason per item.
func (ts *tableService) apply(in writeRequest) []cancellationReason {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	reasons := make([]cancellationReason, len(in.TransactItems))
	failed := false
	for ix, item := range in.TransactItems {
		reasons[ix].Code = "None"
		wr := item.Put
		if wr == nil {
			wr = item.Delete
		}
		if !wr.conditionHolds(ts.rows[wr.partition()][wr.sortKey()]) {
			reasons[ix].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return reasons
	}
	for _, item := range in.TransactItems {
		if del := item.Delete; del != nil {
			delete(ts.rows[del.partition()], del.sortKey())
			continue
		}
		put := item.Put
		if ts.rows[put.partition()] == nil {
			ts.rows[put.partition()] = make(map[string]storedRow)
		}
		ts.rows[put.partition()][put.sortKey()] = put.Item
	}
	return nil
}

func (in writeRequest) validationMessage() string {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxWrites {
		return fmt.Sprintf("%d items in a transaction", len(in.TransactItems))
	}
	seen := make(map[[2]string]bool)
	for _, item := range in.TransactItems {
		wr := item.Put
		if wr == nil {
			wr = item.Delete
		}
		if wr == nil || wr.partition() == "" || wr.sortKey() == "" {
			return "item without a key"
		}
		key := [2]string{wr.partition(), wr.sortKey()}
		if seen[key] {
			return "transaction contains two operations on one row"
		}
		seen[key] = true
		if wr.Item.size() > maxRowBytes {
			return "row exceeds the maximum size"
		}
		switch wr.ConditionExpression {
		case "", "attribute_not_exists(#p)", "#v = :v":
		default:
			return "condition is not supported: " + wr.ConditionExpression
		}
	}
	return ""
}

// conditionHolds reports whether the stored row satisfies the write's condition.
func (wr *writeItem) conditionHolds(row storedRow) bool {
	switch wr.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(#p)":
		return row == nil
	}
	column := wr.ExpressionAttributeNames["#v"]
	return row != nil && row[column]["N"] == wr.ExpressionAttributeValues[":v"]["N"]
}

func (wr *writeItem) partition() string { return wr.keyColumns().partition() }

func (wr *writeItem) sortKey() string { return wr.keyColumns().sortKey() }

func (wr *writeItem) keyColumns() storedRow {
	if wr.Item != nil {
		return wr.Item
	}
	return wr.Key
}

func (row storedRow) partition() string { return row[partitionColumn]["S"] }

func (row storedRow) sortKey() string { return row[sortColumn]["S"] }

func (row storedRow) size() int {
	size := 0
	for name, val := range row {
		size += len(name)
		for _, txt := range val {
			size += len(txt)
		}
	}
	return size
}

func decodeRequest(rsp http.ResponseWriter, req *http.Request, into any) bool {
	if err := json.NewDecoder(req.Body).Decode(into); err != nil {
		writeTableError(rsp, "SerializationException", err.Error(), nil)
		return false
	}
	return true
}

func writeTableError(rsp http.ResponseWriter, name, msg string, reasons []cancellationReason) {
	writeResponse(rsp, http.StatusBadRequest, tableError{Type: errorPrefix + name, Message: msg, CancellationReasons: reasons})
}

func writeResponse(rsp http.ResponseWriter, status int, body any) {
	rsp.Header().Set("Content-Type", tableMediaType)
	rsp.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(rsp).Encode(body)
}
