package httpendpoint_test

import (
	"net/http"
	"testing"

	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/earlyanswer"
)

// Guards against a part of a service's response that counts as the whole one.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	earlyanswer.Check(t, "service call", earlyanswer.Reader{Body: "stored", Call: func(t *testing.T, addr string) error {
		r := serviceRequest(http.MethodPost)
		r.Body = make([]byte, earlyanswer.MinUpload)
		_, err := httpendpoint.NewService("http://"+addr).Call(t.Context(), r)
		return err
	}})
}
