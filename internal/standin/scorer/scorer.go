// Package scorer is a stand-in for the service that scores a trainer's samples. It is a
// plain.Service that answers POST /score.
package scorer

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/plain"
)

// Path is the URL path at which samples are scored.
const Path = "/score"

// Request is the body of POST /score.
type Request struct {
	Text string `json:"text"`
}

// Response is the body of the answer to POST /score.
type Response struct {
	Score float64 `json:"score"` // in [0, 1)
}

// New returns a scorer. It ignores Options.Answer.
func New(o plain.Options) *plain.Service {
	o.Answer = answer
	return plain.New(o)
}

// Score returns the score of a text, in [0, 1). It is derived from a hash of the text.
func Score(text string) float64 {
	const bits = 53 // a float64 represents integers of 53 bits exactly
	return float64(xxhash.Sum64String(text)>>(64-bits)) / (1 << bits)
}

func answer(req endpoint.ServiceRequest) endpoint.ServiceResponse {
	if req.Path != Path {
		return plain.JSON(http.StatusNotFound, "no such path")
	}
	if req.Method != http.MethodPost {
		return plain.JSON(http.StatusMethodNotAllowed, "want POST")
	}
	var body Request
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return plain.JSON(http.StatusBadRequest, err.Error())
	}
	return plain.JSON(http.StatusOK, Response{Score: Score(body.Text)})
}
