package main

// The empty import links the process against the system's C library, as the
// users' platform requires of every program that it runs.

import "C"
