// Package respond writes the HTTP responses of the stand-ins.
package respond

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"mulberryscale.example/platform"
)

// MaxBody limits the request bodies that a stand-in reads, in bytes.
const MaxBody = 16 << 20

// JSON writes a response with the given status and v as its JSON body.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has disconnected
}

// Read decodes the request's JSON body into v. If that fails, it answers 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// BreakConnection aborts the request without a response by a panic; it does not return.
func BreakConnection() { panic(http.ErrAbortHandler) }

// PlatformError answers with the status of an error of package platform. For any other error
// it breaks the connection, so that the caller does not know the outcome.
func PlatformError(w http.ResponseWriter, err error) {
	var limited *platform.RateLimitedError
	switch {
	case errors.As(err, &limited):
		seconds := int(math.Ceil(limited.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrPrecondition):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		BreakConnection()
	}
}
