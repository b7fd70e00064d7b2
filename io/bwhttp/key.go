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

// Errors of keys; each is answered with 401.
var (
	// ErrNoKey says that the request has no bearer key.
	ErrNoKey = errors.New("no bearer key in the Authorization header")
	// ErrUnknownKey says that no team or operator has the key.
	ErrUnknownKey = errors.New("the key is not known")
	// ErrKeyExpired says that the key's validity has ended.
	ErrKeyExpired = errors.New("the key has expired")
)

// maxKeyBytes bounds the work of hashing a key.
const maxKeyBytes = 512

// TeamAuthenticator finds the team of each request by its bearer key.
type TeamAuthenticator struct {
	// Lookup returns the team that lists a key's hash, such as KeyIndex.Lookup.
	Lookup func(hash [sha256.Size]byte) (bwmodel.Team, bool)
	Now    func() time.Time
	// WithTeam adds the team to the context of the request.
	WithTeam func(context.Context, bwmodel.Team) context.Context
	// ErrorHandler answers a request without a valid key.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// Wrap returns a handler that runs next for requests with a valid key only.
func (tg *TeamAuthenticator) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		team, err := tg.Authenticate(rq)
		if err != nil {
			refuseKey(rw, rq, err, tg.ErrorHandler)
			return
		}
		next.ServeHTTP(rw, rq.WithContext(tg.WithTeam(rq.Context(), team)))
	})
}

// Authenticate returns the team whose key the request carries, or ErrNoKey,
// ErrUnknownKey or ErrKeyExpired.
func (tg *TeamAuthenticator) Authenticate(rq *http.Request) (bwmodel.Team, error) {
	hash, err := bearerHash(rq)
	if err != nil {
		return bwmodel.Team{}, err
	}
	team, ok := tg.Lookup(hash)
	if !ok {
		return bwmodel.Team{}, ErrUnknownKey
	}
	// The lookup is by hash, so its time tells nothing of a key; the team's own
	// list decides, so that a wrong index can't admit a key of another team.
	err = ErrUnknownKey
	for _, key := range team.Keys {
		if subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1 {
			err = checkExpiry(key.NotAfter, tg.Now())
		}
	}
	if err != nil {
		return bwmodel.Team{}, err
	}
	return team, nil
}

// KeyIndex finds teams by the hashes of their keys; it never changes.
type KeyIndex struct {
	teams map[[sha256.Size]byte]bwmodel.Team
}

// NewKeyIndex returns the index of the teams' keys; a hash that two teams list
// belongs to neither, since the caller can't be told apart.
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

// Lookup returns the team that lists the hash.
func (kix *KeyIndex) Lookup(hash [sha256.Size]byte) (bwmodel.Team, bool) {
	team, ok := kix.teams[hash]
	return team, ok
}

// OperatorKey is the hash of an operator's key.
type OperatorKey struct {
	// Name says whose key it is.
	Name string
	Hash [sha256.Size]byte
	// NotAfter ends the key's validity; the zero time means no end.
	NotAfter time.Time
}

// OperatorAuthenticator admits requests with an operator's key; teams' keys are not known to it.
type OperatorAuthenticator struct {
	Keys []OperatorKey
	Now  func() time.Time
	// ErrorHandler answers a request without a valid key.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
}

// Wrap returns a handler that runs next for requests with a valid key only.
func (og *OperatorAuthenticator) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		name, err := og.Authenticate(rq)
		if err != nil {
			refuseKey(rw, rq, err, og.ErrorHandler)
			return
		}
		ctx := context.WithValue(rq.Context(), operatorContextKey{}, name)
		next.ServeHTTP(rw, rq.WithContext(ctx))
	})
}

// Authenticate returns the name of the key that the request carries, or ErrNoKey,
// ErrUnknownKey or ErrKeyExpired.
func (og *OperatorAuthenticator) Authenticate(rq *http.Request) (string, error) {
	hash, err := bearerHash(rq)
	if err != nil {
		return "", err
	}
	name, err := "", ErrUnknownKey
	for _, key := range og.Keys {
		if subtle.ConstantTimeCompare(key.Hash[:], hash[:]) == 1 {
			name, err = key.Name, checkExpiry(key.NotAfter, og.Now())
		}
	}
	if err != nil {
		return "", err
	}
	return name, nil
}

type operatorContextKey struct{}

// OperatorName returns the name of the key that OperatorGate has checked, or "".
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// SetBearer adds a key to a request.
func SetBearer(rq *http.Request, key string) { rq.Header.Set("Authorization", bearerPrefix+key) }

const bearerPrefix = "Bearer "

func bearerHash(rq *http.Request) ([sha256.Size]byte, error) {
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

func refuseKey(rw http.ResponseWriter, rq *http.Request, err error, fail func(http.ResponseWriter, *http.Request, error)) {
	rw.Header().Set("WWW-Authenticate", `Bearer realm="bilberrywick"`)
	fail(rw, rq, &RequestError{Status: http.StatusUnauthorized, Err: err})
}
