package bwhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// Errors of authentication; each gets status 401.
var (
	// ErrNoKey is returned for a request without a bearer key.
	ErrNoKey = errors.New("no bearer key in the Authorization header")
	// ErrUnknownKey is returned for a key that no team or operator has.
	ErrUnknownKey = errors.New("the key is not known")
	// ErrKeyExpired is returned for a key after its NotAfter time.
	ErrKeyExpired = errors.New("the key has expired")
)

// maxKeyBytes limits the work to hash a key.
const maxKeyBytes = 512

// TeamAuthenticator determines the team of each request from its bearer key.
type TeamAuthenticator struct {
	// Lookup returns the team that lists a key's hash, such as KeyIndex.Lookup.
	Lookup func(hash [sha256.Size]byte) (bwmodel.Team, bool)
	Now    func() time.Time
	// WithTeam returns the context of the request with the team added.
	WithTeam func(context.Context, bwmodel.Team) context.Context
	// ErrorHandler writes the response for a request without a valid key.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// Wrap returns a handler that runs next only for requests with a valid key.
func (ta *TeamAuthenticator) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		team, err := ta.Authenticate(rq)
		if err != nil {
			writeUnauthorized(rw, rq, err, ta.ErrorHandler)
			return
		}
		next.ServeHTTP(rw, rq.WithContext(ta.WithTeam(rq.Context(), team)))
	})
}

// Authenticate returns the team whose key the request has, or ErrNoKey,
// ErrUnknownKey or ErrKeyExpired.
func (ta *TeamAuthenticator) Authenticate(rq *http.Request) (bwmodel.Team, error) {
	hash, err := bearerKeyHash(rq)
	if err != nil {
		return bwmodel.Team{}, err
	}
	team, ok := ta.Lookup(hash)
	if !ok {
		return bwmodel.Team{}, ErrUnknownKey
	}
	// Lookup is by hash, so its timing reveals nothing about a key. The key must also
	// be in the team's own list, so that a faulty index can't accept a key of another
	// team.
	err = ErrUnknownKey
	for _, key := range team.Keys {
		if subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1 {
			err = checkExpiry(key.NotAfter, ta.Now())
		}
	}
	if err != nil {
		return bwmodel.Team{}, err
	}
	return team, nil
}

// KeyIndex maps the hashes of keys to teams. It is immutable.
type KeyIndex struct {
	teams map[[sha256.Size]byte]bwmodel.Team
}

// NewKeyIndex returns the index of the teams' keys. It omits a hash that two teams
// list, since the team of the caller would be ambiguous.
func NewKeyIndex(teams []bwmodel.Team) *KeyIndex {
	kix := &KeyIndex{teams: make(map[[sha256.Size]byte]bwmodel.Team, len(teams))}
	shared := make(map[[sha256.Size]byte]bool)
	for _, team := range teams {
		for _, key := range team.Keys {
			if other, ok := kix.teams[key.Hash]; ok && other.Name != team.Name {
				shared[key.Hash] = true
			}
			kix.teams[key.Hash] = team
		}
	}
	for hash := range shared {
		delete(kix.teams, hash)
	}
	return kix
}

// Lookup returns the team that lists the hash, and whether there is one.
func (kix *KeyIndex) Lookup(hash [sha256.Size]byte) (bwmodel.Team, bool) {
	team, ok := kix.teams[hash]
	return team, ok
}

// OperatorKey is the hash of an operator's key.
type OperatorKey struct {
	// Name identifies the owner of the key.
	Name string
	Hash [sha256.Size]byte
	// NotAfter is the end of the key's validity; the zero time means no end.
	NotAfter time.Time
}

// OperatorAuthenticator accepts requests with an operator's key. It doesn't accept teams' keys.
type OperatorAuthenticator struct {
	Keys []OperatorKey
	Now  func() time.Time
	// ErrorHandler writes the response for a request without a valid key.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// Wrap returns a handler that runs next only for requests with a valid key.
func (oa *OperatorAuthenticator) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		name, err := oa.Authenticate(rq)
		if err != nil {
			writeUnauthorized(rw, rq, err, oa.ErrorHandler)
			return
		}
		ctx := context.WithValue(rq.Context(), operatorContextKey{}, name)
		next.ServeHTTP(rw, rq.WithContext(ctx))
	})
}

// Authenticate returns the name of the operator's key that the request has, or ErrNoKey,
// ErrUnknownKey or ErrKeyExpired.
func (oa *OperatorAuthenticator) Authenticate(rq *http.Request) (string, error) {
	hash, err := bearerKeyHash(rq)
	if err != nil {
		return "", err
	}
	name, err := "", ErrUnknownKey
	for _, key := range oa.Keys {
		if subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1 {
			name, err = key.Name, checkExpiry(key.NotAfter, oa.Now())
		}
	}
	if err != nil {
		return "", err
	}
	return name, nil
}

type operatorContextKey struct{}

// OperatorName returns the name of the key that OperatorAuthenticator has accepted,
// or "".
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// SetBearer sets the bearer key of a request.
func SetBearer(rq *http.Request, key string) { rq.Header.Set("Authorization", bearerPrefix+key) }

const bearerPrefix = "Bearer "

func bearerKeyHash(rq *http.Request) ([sha256.Size]byte, error) {
	txt := rq.Header.Get("Authorization")
	if len(txt) <= len(bearerPrefix) || !strings.EqualFold(txt[:len(bearerPrefix)], bearerPrefix) {
		return [sha256.Size]byte{}, ErrNoKey
	}
	key := strings.TrimSpace(txt[len(bearerPrefix):])
	if key == "" || len(key) > maxKeyBytes {
		return [sha256.Size]byte{}, ErrNoKey
	}
	return sha256.Sum256([]byte(key)), nil
}

func checkExpiry(notAfter, now time.Time) error {
	if !notAfter.IsZero() && now.After(notAfter) {
		return ErrKeyExpired
	}
	return nil
}

func writeUnauthorized(rw http.ResponseWriter, rq *http.Request, err error, errorHandler func(http.ResponseWriter, *http.Request, error)) {
	rw.Header().Set("WWW-Authenticate", `Bearer realm="bilberrywick"`)
	errorHandler(rw, rq, &RequestError{Status: http.StatusUnauthorized, Err: err})
}
