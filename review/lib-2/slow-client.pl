#!/usr/bin/perl
# A client behind a slow link with small windows and the segment size of Ethernet: on a loopback link
# the kernel would take a megabyte at once. Arguments: host, port, request head, bytes of each read,
# milliseconds between reads. Prints as JSON lines the number of bytes of the first read, and at the end
# the head of the answer, the number of bytes of its body and how the channel ended.
use strict;
use warnings;
use Socket qw(:all);

my ($host, $port, $request, $bytes, $period_ms) = @ARGV;
$| = 1;
socket(my $socket, PF_INET, SOCK_STREAM, IPPROTO_TCP) or die "socket: $!";
setsockopt($socket, IPPROTO_TCP, TCP_MAXSEG, pack('i', 1460)) or die "segment size: $!";
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack('i', 16384)) or die "window: $!";
connect($socket, sockaddr_in($port, inet_aton($host))) or die "connect: $!";
syswrite($socket, $request) == length($request) or die "write: $!";
my $answer = '';
my $end = 'end';
while (1) {
    my $count = sysread($socket, $answer, $bytes, length($answer));
    if (!defined $count) { $end = 'reset'; last; }
    last if $count == 0;
    print qq({"first":$count}\n) if $count == length($answer);
    select(undef, undef, undef, $period_ms / 1000);
}
my $mark = index($answer, "\r\n\r\n");
my $head = $mark < 0 ? $answer : substr($answer, 0, $mark);
my $body = $mark < 0 ? 0 : length($answer) - $mark - 4;
$head =~ s/\r\n/ | /g;
$head =~ s/["\\]//g;
print qq({"head":"$head","body":$body,"end":"$end"}\n);
