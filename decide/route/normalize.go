package route

import (
	"net/url"
	"path"
	"strings"
)

// normalizeHostName returns the normal form of a host name: lower case, without
// the final dot of a fully qualified name.
func normalizeHostName(name string) string {
	return strings.TrimSuffix(strings.ToLower(name), ".")
}

// stripPort removes the port from a Host header.
func stripPort(hostName string) string {
	name, _, _ := strings.Cut(hostName, ":")
	return name
}

// normalizePath returns the normal form of a path: it begins with a slash, has no
// empty, "." or ".." segment, and no final slash unless it is "/".
func normalizePath(p string) string {
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}
	return path.Clean(p)
}

// unescapeSegments decodes the escapes of a path, except those of slashes: an
// escaped slash is data of its segment and separates none. A path with an invalid
// escape is returned as it is.
func unescapeSegments(p string) string {
	if !strings.Contains(p, "%") {
		return p
	}
	kept := strings.NewReplacer("%2F", "%252F", "%2f", "%252F").Replace(p)
	decoded, err := url.PathUnescape(kept)
	if err != nil {
		return p
	}
	return decoded
}

// parentPath returns a normalized path without its last segment.
func parentPath(normalized string) string {
	lastSlash := strings.LastIndexByte(normalized, '/')
	return normalized[:max(lastSlash, 1)]
}
