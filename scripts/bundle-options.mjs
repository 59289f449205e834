// Options of esbuild that all bundles of the program share.
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias: {
    'unix-dgram': './scripts/absent-module.cjs',
    bufferutil: './scripts/absent-module.cjs',
    'utf-8-validate': './scripts/absent-module.cjs',
  },
  logLevel: 'error',
};
