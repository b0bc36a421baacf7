package route

import (
	"path"
	"strings"
)

// normalHostName folds the forms of a host name that mean the same: letter
// case, and the dot at the end of a fully qualified name.
func normalHostName(name string) string {
	return strings.TrimSuffix(strings.ToLower(name), ".")
}

// withoutPort drops the port of a Host header.
func withoutPort(hostName string) string {
	name, _, _ := strings.Cut(hostName, ":")
	return name
}

// normalPath folds the forms of a path that mean the same: it begins with a
// slash, has no empty, "." or ".." segment, and no slash at its end unless it
// is "/".
func normalPath(p string) string {
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}
	return path.Clean(p)
}

// parent returns the normal path without its last segment.
func parent(normal string) string {
	last := strings.LastIndexByte(normal, '/')
	return normal[:max(last, 1)]
}
