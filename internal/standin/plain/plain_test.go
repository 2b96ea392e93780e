package plain_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/internal/standin/scorer"
)

func TestCrashBreaksCallsThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := plain.New(plain.Options{Delay: time.Minute})
		result := make(chan error)
		go func() {
			_, err := s.Call(t.Context(), endpoint.ServiceRequest{Method: http.MethodPost, Path: "/"})
			result <- err
		}()
		synctest.Wait()
		s.Crash()
		if err := <-result; !errors.Is(err, plain.ErrConnection) || len(s.Records()) != 1 {
			t.Fatalf("got %v after %d executions", err, len(s.Records()))
		}
	})
}

func TestScorer(t *testing.T) {
	s := scorer.New(plain.Options{})
	body, _ := json.Marshal(scorer.Request{Text: "open on Saturday"})
	resp, err := s.Call(t.Context(), endpoint.ServiceRequest{Method: http.MethodPost, Path: scorer.Path, Body: body})
	var got scorer.Response
	if err != nil || json.Unmarshal(resp.Body, &got) != nil {
		t.Fatalf("got %s, %v", resp.Body, err)
	}
	if got.Score != scorer.Score("open on Saturday") || got.Score < 0 || got.Score >= 1 || got.Score == scorer.Score("closed") {
		t.Fatalf("score %v", got.Score)
	}
}
