# Cost of one wake-up of the event loop, as a function of the number of idle descriptors.
say "microseconds per wake-up: a QSocketNotifier per descriptor, and the reactor"
"$bin/performance-event-loop"
