// Replaces mime-db by the media types of the router's own responses, as the
// complete list would be loaded and indexed at each start.
module.exports = {
  'application/json': { extensions: ['json'], charset: 'UTF-8' },
  'application/problem+json': {},
  'text/html': { extensions: ['html'], charset: 'UTF-8' },
  'text/plain': { extensions: ['txt', 'text'], charset: 'UTF-8' },
};
