package entry

import (
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"

	"github.com/jackdawlane/jackdawlane/exchange"
	"github.com/jackdawlane/jackdawlane/hop"
)

// checkTrailer refuses a request with a trailer that http.Transport does not send. The transport's
// error would be taken for a guard that cannot be reached.
func checkTrailer(trailer http.Header) *ErrorReply {
	for name, values := range trailer {
		if exchange.IsForbiddenTrailer(name) || !validValues(values) {
			return NotRun(http.StatusBadRequest, hop.ReasonBadRequest, "a trailer is not valid")
		}
	}
	return nil
}

func validValues(values []string) bool {
	return !slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) })
}
