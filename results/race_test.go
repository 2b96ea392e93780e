package results

// On several processors the race detector sometimes crashes in testing/synctest bubbles.
import _ "mulberryscale.example/internal/racelimit"
