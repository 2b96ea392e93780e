// Package respond writes the stand-ins' HTTP answers.
package respond

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"mulberryscale.example/platform"
)

// MaxBody bounds the bodies that a stand-in reads, in bytes.
const MaxBody = 16 << 20

// JSON writes v with a status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

// Read decodes a JSON body, or answers 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// BreakConnection ends the call without an answer; it does not return.
func BreakConnection() { panic(http.ErrAbortHandler) }

// PlatformError answers an error of package platform; any other error breaks
// the connection, so that the outcome stays unknown to the caller.
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
