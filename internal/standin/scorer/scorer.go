// Package scorer is a stand-in for the service that scores a trainer's samples.
// It is a plain stand-in that answers POST /score.
package scorer

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/plain"
)

// Path is where samples are scored.
const Path = "/score"

// Request is the body of POST /score.
type Request struct {
	Text string `json:"text"`
}

// Response is its answer.
type Response struct {
	Score float64 `json:"score"` // in [0, 1)
}

// New makes a scorer; Options.Answer is not used.
func New(o plain.Options) *plain.Service {
	o.Answer = answer
	return plain.New(o)
}

// Score is the score of a text, in [0, 1).
func Score(text string) float64 {
	const bits = 53 // a float64 holds them exactly
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
