// Separate compilation of Asio and Beast: the only file that may include their sources.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
