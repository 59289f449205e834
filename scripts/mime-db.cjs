// The media types that the router's own answers have; the whole list is read
// and indexed at each start.
module.exports = {
  'application/json': { extensions: ['json'], charset: 'UTF-8' },
  'application/problem+json': {},
  'text/html': { extensions: ['html'], charset: 'UTF-8' },
  'text/plain': { extensions: ['txt', 'text'], charset: 'UTF-8' },
};
