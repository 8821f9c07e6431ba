package catalog

import (
	"net/url"
	"strings"
)

// segmentEncoder encodes what would be a separator, or the begin of an escape, in a decoded
// segment of a path.
var segmentEncoder = strings.NewReplacer("%", "%25", "/", "%2F")

// CanonicalPath returns the form of a percent-encoded path that is equal for equivalent
// paths. Percent-encoded characters are decoded, except slashes, which are data of a segment,
// and percent signs. An escape that is malformed stands for itself.
func CanonicalPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			decoded = segment
		}
		segments[i] = segmentEncoder.Replace(decoded)
	}
	return strings.Join(segments, "/")
}
