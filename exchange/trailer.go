package exchange

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// isTrailer reports whether all fields of a trailer have valid names. http.Transport lets blanks pass.
func isTrailer(trailer http.Header) bool {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}
