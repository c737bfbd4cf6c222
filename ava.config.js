export default {
  files: [
    'packages/*/lib/test/**/*_test.js',
    'platform/lib/test/**/*_test.js',
    // Its bounds are those of the platform, so it runs beside nothing else.
    '!platform/lib/test/soak/**',
    // Measures the memory of its daemons, so it runs beside nothing else.
    '!platform/lib/test/untrusted-clients/**',
    '!packages/daemon/lib/test/untrusted-clients/**',
    // Bounds the turns of its daemons, so it runs beside nothing else.
    '!platform/lib/test/small-chunks_test.js',
  ],
  timeout: '4m',
  // Daemons of one test file share loopback ports and CPU time; a bounded
  // number of workers keeps timing-sensitive protocol code out of starvation.
  concurrency: 4,
  workerThreads: false,
};
