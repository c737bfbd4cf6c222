export default {
  // They measure the memory or the turns of their daemons, so each runs beside
  // nothing else.
  files: [
    'platform/lib/test/untrusted-clients/untrusted-clients_test.js',
    'platform/lib/test/untrusted-clients/stopping-daemon_test.js',
    'platform/lib/test/small-chunks_test.js',
    'packages/daemon/lib/test/untrusted-clients/untrusted-callers_test.js',
  ],
  concurrency: 1,
  timeout: '4m',
  workerThreads: false,
};
