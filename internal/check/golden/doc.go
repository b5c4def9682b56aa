// Package golden compares the output of a test with a file that is under version
// control. UPDATE_GOLDEN=1 in the environment rewrites the file.
package golden
