#define BOOST_TEST_MODULE chervilspring
#include <boost/test/unit_test.hpp>
