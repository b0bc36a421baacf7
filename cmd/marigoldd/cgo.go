package main

// Importing "C" links the program against the system's C library. The users'
// platform requires that of every program that it runs.

import "C"
