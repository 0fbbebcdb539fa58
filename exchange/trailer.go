package exchange

import (
	"maps"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// forbiddenTrailers are the names that http.Transport and http.Server neither send as trailers nor take in an
// announcement of them.
var forbiddenTrailers = []string{"Content-Length", "Trailer", "Transfer-Encoding"}

// IsForbiddenTrailer reports whether a field with the name cannot be sent as a trailer.
func IsForbiddenTrailer(name string) bool {
	return slices.Contains(forbiddenTrailers, name) || !httpguts.ValidHeaderFieldName(name)
}

// checkTrailer returns errMalformedTrailer unless all fields of a trailer have valid names. http.Transport
// lets blanks pass. It removes the fields that cannot be sent on, which have no meaning behind a body.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return errMalformedTrailer
		}
	}
	maps.DeleteFunc(trailer, func(name string, _ []string) bool { return IsForbiddenTrailer(name) })
	return nil
}
