export default {
  files: ['platform/lib/test/soak/soak_test.js'],
  timeout: '4m',
  workerThreads: false,
};
