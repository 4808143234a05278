// Package docs holds tests that compare the documentation with the code.
package docs
